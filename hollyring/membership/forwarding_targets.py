"""Choice of the VM that executes a request for a VM that reaches no upstream of its service."""

from __future__ import annotations

import collections
from collections.abc import Collection

from hollyring.core import rendezvous
from hollyring.membership import heartbeat, peer_table

FAR_FACTOR = 2.0
"""Cost of a VM of another failure domain relative to one of this VM's, at the same load.

At a low load all go to the near ones; with more, a far one gets half as many as a near one.
"""

MIN_CAPACITY = 0.01
"""Least capacity that is reckoned with, in cores."""


class ForwardingTargets:
    """VMs to forward requests to, and what this VM has in progress there.

    Parameters
    ----------
    peers
        The other VMs.
    """

    __slots__ = ("_peers", "_in_progress", "_chosen")

    def __init__(self, peers: peer_table.PeerTable) -> None:
        self._peers = peers
        self._in_progress: collections.Counter[str] = collections.Counter()
        self._chosen = 0

    @property
    def in_progress(self) -> int:
        """Number of forwarded requests in progress."""
        return self._in_progress.total()

    def choose(
        self, service: str, excluded: Collection[str], now: float
    ) -> heartbeat.VmInfo | None:
        """Return the VM to forward a request to, None if no VM is known to reach the service.

        Parameters
        ----------
        excluded
            Names of VMs that were asked already.
        """
        self._chosen += 1
        key = f"{self._peers.local.name} {self._chosen}".encode()
        suitable = [
            peer.vm for peer in self._peers.executing(service, now) if peer.vm.name not in excluded
        ]
        return min(
            suitable,
            key=lambda vm: (self._cost(vm), rendezvous.weight(key, vm.name)),
            default=None,
        )

    def record_begin(self, vm: str) -> None:
        """Record that a request was forwarded to a VM."""
        self._in_progress[vm] += 1

    def record_end(self, vm: str) -> None:
        """Record that a forwarded request ended."""
        self._in_progress[vm] -= 1
        if self._in_progress[vm] <= 0:
            del self._in_progress[vm]

    def _cost(self, vm: heartbeat.VmInfo) -> float:
        """Return what one more request costs a VM, by this VM's requests and its capacity."""
        near = vm.failure_domain == self._peers.local.failure_domain
        load = (self._in_progress[vm.name] + 1) / max(MIN_CAPACITY, vm.capacity)
        return load if near else load * FAR_FACTOR
