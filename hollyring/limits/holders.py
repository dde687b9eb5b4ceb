"""Selection of the VMs that hold shares of an organisation's rate and burst."""

from __future__ import annotations

import collections
import dataclasses

from hollyring.core import rendezvous
from hollyring.limits import errors

SMALL_FLEET_VMS = 9
"""Largest fleet in which each VM holds a share of each organisation."""

LARGE_FLEET_HOLDERS = 6
"""Number of holders per organisation in a larger fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """An organisation's rate in tokens per second and its burst in tokens."""

    organisation: str
    rate: int
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A position in the fleet, the VM that currently fills it, and its location.

    Shares are assigned to slots, so replacing the VM of a slot reassigns no shares.
    """

    name: str
    vm: str
    failure_domain: str = ""
    region: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """The slots of the fleet and the VMs that fill them, at one configuration revision.

    Parameters
    ----------
    revision
        Revision of the configuration in which the slots last changed.
    slots
        All slots. Each VM fills at most one.
    retiring
        VMs that no longer fill a slot but are not known to be destroyed.
    settled
        Latest revision known to be settled when this roster was written. A revision is settled
        when no VM applies an older one. In the first roster of a fleet this equals `revision`.
    holders
        Number of holders per organisation, or 0 for the default for the fleet's size.
    """

    revision: int
    slots: tuple[Slot, ...]
    retiring: tuple[str, ...] = ()
    settled: int = 0
    holders: int = 0

    def __post_init__(self) -> None:
        vms = [slot.vm for slot in self.slots]
        if not vms or len(set(vms)) < len(vms) or self.holders < 0:
            raise errors.ConfigurationError(
                f"roster {self.revision} is invalid: no slots, a VM in two slots, or holders < 0"
            )

    @property
    def holder_count(self) -> int:
        """Maximum number of holders per organisation; a fleet with fewer slots has fewer."""
        if self.holders:
            return self.holders
        return SMALL_FLEET_VMS if len(self.slots) <= SMALL_FLEET_VMS else LARGE_FLEET_HOLDERS

    @property
    def members(self) -> frozenset[str]:
        """VMs that may apply this roster or an earlier one."""
        return frozenset(slot.vm for slot in self.slots) | frozenset(self.retiring)


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate (tokens per second) and burst (tokens) of one holder's share."""

    rate: float
    burst: int

    def minimum(self, other: Quota) -> Quota:
        """Return the elementwise minimum with `other`."""
        return Quota(min(self.rate, other.rate), min(self.burst, other.burst))


NO_QUOTA = Quota(0.0, 0)


def select_holders(organisation: str, roster: Roster) -> tuple[Slot, ...]:
    """Return the slots that hold shares of `organisation`, spread over failure domains.

    Examples
    --------
    >>> slots = tuple(Slot(f"s{i}", f"vm-{i}", f"fd-{i % 3}") for i in range(9))
    >>> chosen = select_holders("shop-4", Roster(1, slots, holders=3))
    >>> len({slot.failure_domain for slot in chosen})
    3
    """
    by_name = {slot.name: slot for slot in roster.slots}
    seen: collections.Counter[str] = collections.Counter()
    rows = []
    for position, name in enumerate(rendezvous.rank(organisation.encode(), by_name)):
        domain = by_name[name].failure_domain
        rows.append((seen[domain], position, name))
        seen[domain] += 1
    return tuple(by_name[name] for _, _, name in sorted(rows)[: roster.holder_count])


def quota_of_vm(limit: Limit, vm: str, slots: tuple[Slot, ...]) -> Quota:
    """Return the quota of `vm` if `limit` is divided among `slots`.

    The quotas of all holders add up to the limit.

    Examples
    --------
    >>> slots = (Slot("a", "vm-1"), Slot("b", "vm-2"), Slot("c", "vm-3"))
    >>> quota_of_vm(Limit("shop", 30, 100), "vm-1", slots)
    Quota(rate=10.0, burst=34)
    >>> quota_of_vm(Limit("shop", 30, 100), "vm-9", slots)
    Quota(rate=0.0, burst=0)
    """
    for index, slot in enumerate(slots):
        if slot.vm == vm:
            return quota_of_holder(limit, index, len(slots))
    return NO_QUOTA


def quota_of_holder(limit: Limit, index: int, count: int) -> Quota:
    """Return the quota of the holder at `index` out of `count` holders."""
    return Quota(limit.rate / count, limit.burst // count + (index < limit.burst % count))
