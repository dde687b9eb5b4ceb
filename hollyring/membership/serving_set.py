"""Selection of the VMs that serve callers.

The load that this answers: a fleet of hundreds of VMs before traffic that a few dozen can carry.
Whatever VMs exchange about their requests grows with the square of the number of VMs that have
requests. Therefore callers are sent to only as many VMs as the traffic needs, the serving VMs. The
others follow: they keep the configuration and the list of upstreams current, answer any caller that
still reaches them, and take the place of a serving VM that fails or leaves.

All VMs rank the registered VMs alike, so the choice needs no agreement. Views that differ for a
moment only cause some VMs more to serve.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Sequence

from hollyring.core import rendezvous
from hollyring.membership import heartbeat

MIN_SERVING_VMS = 12
"""Least number of serving VMs, so that the loss of one breaks off few requests."""

MAX_SERVING_VMS = 64
"""Largest number of serving VMs: callers receive at most so many addresses."""

REQUESTS_PER_CORE = 30.0
"""Requests per second for each core of capacity above which a further VM serves.

A core forwards several times as many; the rest is for bursts and for the loss of VMs.
"""

BITS_PER_REQUEST = 160_000.0
"""Bits that a request with its answer puts on the VM's link."""

SHRINK_MARGIN = 1.4
"""Factor by which the traffic must be below what a smaller set would carry before it shrinks."""

SHRINK_DELAY_SECONDS = 10.0
"""Time for which the traffic must have been that low."""

_RANKING_KEY = b"serving"


def rank_vms(vms: Iterable[heartbeat.VmInfo]) -> list[heartbeat.VmInfo]:
    """Return VMs in the order in which they are selected to serve.

    Failure domains take turns, so that every prefix of the order is spread evenly. Within a domain,
    VMs that carry more come first, and a hash orders those that carry the same.

    Examples
    --------
    >>> vms = [
    ...     heartbeat.VmInfo(name, 1, "", "", name[0], "r", capacity)
    ...     for name, capacity in (("a1", 0.5), ("a2", 2.0), ("b1", 0.5))
    ... ]
    >>> [vm.name for vm in rank_vms(vms)]
    ['a2', 'b1', 'a1']
    """
    domains: dict[str, list[heartbeat.VmInfo]] = collections.defaultdict(list)
    for vm in vms:
        domains[vm.failure_domain].append(vm)
    places: list[tuple[int, str, heartbeat.VmInfo]] = []
    for domain, members in domains.items():
        members.sort(key=lambda vm: (-cores(vm), -rendezvous.weight(_RANKING_KEY, vm.name)))
        places += [(place, domain, vm) for place, vm in enumerate(members)]
    places.sort(key=lambda item: item[:2])
    return [vm for _, _, vm in places]


def cores(vm: heartbeat.VmInfo) -> float:
    """Return the cores of a VM that its link, if its bandwidth is stated, can keep busy."""
    if vm.link_bits_per_second <= 0.0:
        return vm.capacity
    return min(vm.capacity, vm.link_bits_per_second / (REQUESTS_PER_CORE * BITS_PER_REQUEST))


def select(
    ranked: Sequence[heartbeat.VmInfo], is_available: Callable[[heartbeat.VmInfo], bool], size: int
) -> list[heartbeat.VmInfo]:
    """Return the first `size` available VMs of a ranking."""
    selected: list[heartbeat.VmInfo] = []
    for vm in ranked:
        if len(selected) == size:
            break
        if is_available(vm):
            selected.append(vm)
    return selected


class SetSize:
    """Number of VMs that are needed for the current traffic.

    Examples
    --------
    >>> vms = [heartbeat.VmInfo(f"vm-{n}", 1, "", "", "a", "r", 0.5) for n in range(100)]
    >>> size = SetSize()
    >>> [size.update(vms, rate, now) for rate, now in ((100.0, 0.0), (300.0, 1.0), (100.0, 2.0))]
    [12, 20, 20]
    >>> size.update(vms, 100.0, 12.0)
    12
    """

    __slots__ = ("_size", "_low_since")

    def __init__(self) -> None:
        self._size = MIN_SERVING_VMS
        self._low_since: float | None = None

    @property
    def value(self) -> int:
        """The current number."""
        return self._size

    def adopt(self, size: int) -> None:
        """Use the number that a serving VM determined."""
        self._size = min(MAX_SERVING_VMS, max(MIN_SERVING_VMS, size))

    def update(self, ranked: Sequence[heartbeat.VmInfo], request_rate: float, now: float) -> int:
        """Return the number for the fleet's `request_rate`, in requests per second."""
        needed = _count(ranked, request_rate)
        enough = _count(ranked, request_rate * SHRINK_MARGIN)
        if enough >= self._size:
            self._size = max(self._size, needed)
            self._low_since = None
            return self._size
        if self._low_since is None:
            self._low_since = now
        if now - self._low_since >= SHRINK_DELAY_SECONDS:
            self._size = enough
            self._low_since = None
        return self._size


def _count(ranked: Sequence[heartbeat.VmInfo], request_rate: float) -> int:
    """Return how many VMs from the start of `ranked` carry `request_rate`."""
    cores_needed = request_rate / REQUESTS_PER_CORE
    count, counted = 0, 0.0
    for vm in ranked:
        if counted >= cores_needed:
            break
        counted += cores(vm)
        count += 1
    return min(MAX_SERVING_VMS, max(MIN_SERVING_VMS, count))
