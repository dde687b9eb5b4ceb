"""Choice of the VM that executes a request for a VM that reaches no upstream of its service."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Collection

from hollyring.core import rendezvous
from hollyring.membership import heartbeat, peer_table

FAR_FACTOR = 2.0
"""Cost of a VM of another failure domain relative to one of this VM's, at the same load.

A few requests go to the near ones; of many, a far one gets half as many as a near one.
"""

RECENT_SECONDS = 2.0
"""Time constant of the decaying number of requests that were forwarded to a VM."""

MIN_CAPACITY = 0.01
"""Least capacity that is reckoned with, in cores."""


@dataclasses.dataclass(slots=True)
class _Recent:
    """Decaying number of requests that were forwarded to a VM."""

    count: float = 0.0
    at: float = 0.0

    def value(self, now: float) -> float:
        return self.count * math.exp(-max(0.0, now - self.at) / RECENT_SECONDS)

    def add(self, now: float) -> None:
        self.count = self.value(now) + 1.0
        self.at = now


class ForwardingTargets:
    """VMs to forward requests to, and what this VM has sent there lately and has in progress.

    Parameters
    ----------
    peers
        The other VMs.
    """

    __slots__ = ("_peers", "_in_progress", "_recent", "_chosen")

    def __init__(self, peers: peer_table.PeerTable) -> None:
        self._peers = peers
        self._in_progress: collections.Counter[str] = collections.Counter()
        self._recent: collections.defaultdict[str, _Recent] = collections.defaultdict(_Recent)
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
        chosen = min(
            suitable,
            key=lambda vm: (self._cost(vm, now), rendezvous.weight(key, vm.name)),
            default=None,
        )
        if chosen is not None:
            self._recent[chosen.name].add(now)
        return chosen

    def record_begin(self, vm: str) -> None:
        """Record that a request was forwarded to a VM."""
        self._in_progress[vm] += 1

    def record_end(self, vm: str) -> None:
        """Record that a forwarded request ended."""
        self._in_progress[vm] -= 1
        if self._in_progress[vm] <= 0:
            del self._in_progress[vm]

    def _cost(self, vm: heartbeat.VmInfo, now: float) -> float:
        """Return what one more request costs a VM, by this VM's requests and its capacity."""
        near = vm.failure_domain == self._peers.local.failure_domain
        requests = self._in_progress[vm.name] + self._recent[vm.name].value(now) + 1.0
        load = requests / max(MIN_CAPACITY, vm.capacity)
        return load if near else load * FAR_FACTOR
