"""Which serving VMs are named to a caller, so that each gets what its link bears.

Callers choose at random among the addresses that they are given, so a list that is the same for all
of them gives each VM the same share, however narrow its link. A VM whose link is much narrower than
others', and too narrow for its cores, is named only to callers of its own failure domain: over N
domains it gets about an Nth of what one with a wide link gets.
"""

from __future__ import annotations

from collections.abc import Sequence

from hollyring.membership import heartbeat

NARROW_SHARE = 0.25
"""Share of the widest link below which a link may be narrow."""

PEAK_BITS_PER_CORE = 30e6
"""Bits per second that a core puts on the VM's link when it forwards as much as it can."""

MIN_WIDE_VMS = 3
"""Least number of VMs with wide links on which most of the callers may rely."""


def named_to(domain: str, vms: Sequence[heartbeat.VmInfo]) -> list[heartbeat.VmInfo]:
    """Return the VMs that are named to a caller, in their order.

    Parameters
    ----------
    domain
        Failure domain of the caller, empty if it is unknown.
    vms
        VMs that serve callers.

    Examples
    --------
    >>> def vm(name, domain, megabits):
    ...     return heartbeat.VmInfo(name, 1, "", "", domain, "r", 1.0, True, megabits * 1e6)
    >>> vms = [vm(name, "a", 200.0) for name in ("w1", "w2", "w3")]
    >>> vms += [vm("n1", "a", 10.0), vm("n2", "b", 10.0)]
    >>> [vm.name for vm in named_to("b", vms)]
    ['w1', 'w2', 'w3', 'n2']
    """
    widest = max((vm.link_bits_per_second for vm in vms), default=0.0)
    narrow = {vm.name for vm in vms if _is_narrow(vm, widest)}
    if len(vms) - len(narrow) < MIN_WIDE_VMS:
        return list(vms)
    return [vm for vm in vms if vm.name not in narrow or vm.failure_domain == domain]


def _is_narrow(vm: heartbeat.VmInfo, widest: float) -> bool:
    bits = vm.link_bits_per_second
    return 0.0 < bits < min(NARROW_SHARE * widest, PEAK_BITS_PER_CORE * vm.capacity)
