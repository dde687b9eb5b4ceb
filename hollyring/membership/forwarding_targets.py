"""Choice of the VM that executes a request for a VM that reaches no upstream of its service."""

from __future__ import annotations

from collections.abc import Collection

from hollyring.membership import heartbeat, peer_table


class ForwardingTargets:
    """VMs to forward requests to, and what this VM has in progress there.

    Parameters
    ----------
    peers
        The other VMs.
    """

    __slots__ = ("_peers",)

    def __init__(self, peers: peer_table.PeerTable) -> None:
        self._peers = peers

    def choose(
        self, service: str, excluded: Collection[str], now: float
    ) -> heartbeat.VmInfo | None:
        """Return the VM to forward a request to, None if no VM is known to reach the service.

        Parameters
        ----------
        excluded
            Names of VMs that were asked already.
        """
        return None

    def record_begin(self, vm: str) -> None:
        """Record that a request was forwarded to a VM."""

    def record_end(self, vm: str) -> None:
        """Record that a forwarded request ended."""
