"""Choice of the VM addresses that `GET /v1/entry` returns to a caller, in order of preference."""

from __future__ import annotations

import dataclasses
import math

from hollyring.core import rendezvous

ADDRESS_LIST_TTL_SECONDS = 10.0
"""Longest time for which a caller may cache the list; leaving VMs keep serving at least so long."""

TTL_SPREAD = 0.2
"""Fraction by which the time differs between callers, so that they do not refresh all at once."""

MAX_ADDRESSES = 6

HASH_RANGE = 2.0**64
MIN_WEIGHT = 0.05
"""Weight of a fully loaded VM, so that it still gets some callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that may be offered to callers.

    Parameters
    ----------
    name
        Name of the VM.
    address
        Address that callers connect to.
    failure_domain, region
        Location of the VM.
    usable
        Whether callers may be sent to it: it is neither leaving nor dead.
    suspect
        Whether it is suspected of having failed; such VMs come last.
    load
        Fraction of its capacity in use, from 0 to 1, as last reported.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    usable: bool = True
    suspect: bool = False
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A caller that requests addresses.

    Parameters
    ----------
    identity
        Bytes that identify the caller, e.g. its address; its key for rendezvous hashing.
    failure_domain, region
        Location of the caller, or empty if unknown.
    """

    identity: bytes
    failure_domain: str = ""
    region: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPoints:
    """VMs in the order in which a caller should try them, and how long it may cache the list."""

    vms: list[Candidate]
    ttl_seconds: float


def choose(caller: Caller, candidates: list[Candidate], limit: int = MAX_ADDRESSES) -> EntryPoints:
    """Return the VMs that a caller should use.

    VMs that are not suspected precede suspected ones, and within each group VMs of the caller's
    region precede others. The failure domains alternate, beginning with the caller's own if it is
    given, so that the loss of one costs a single retry. Within a failure domain, callers are
    spread by weighted rendezvous hashing: a VM's share is proportional to its free capacity, and
    the loss of a VM moves only its own callers.

    Examples
    --------
    >>> vms = [Candidate(f"vm-{n}", f"10.0.0.{n}:80", f"fd-{n % 3}", "r") for n in range(9)]
    >>> found = choose(Caller(b"10.9.9.9", "fd-1", "r"), vms)
    >>> found.vms[0].failure_domain, len({vm.failure_domain for vm in found.vms[:3]})
    ('fd-1', 3)
    """
    usable = [vm for vm in candidates if vm.usable]
    healthy = [vm for vm in usable if not vm.suspect]
    suspects = [vm for vm in usable if vm.suspect]
    ordered = _order_by_domain(caller, healthy) + _order_by_domain(caller, suspects)
    return EntryPoints(ordered[:limit], _ttl_seconds(caller))


def _order_by_domain(caller: Caller, vms: list[Candidate]) -> list[Candidate]:
    """Return the VMs so that the failure domains alternate, starting with the caller's own."""
    domains: dict[str, list[Candidate]] = {}
    for vm in sorted(vms, key=lambda vm: (-_score(caller, vm), vm.name)):
        domains.setdefault(vm.failure_domain, []).append(vm)
    domain_order = sorted(domains, key=lambda name: _domain_sort_key(caller, domains[name][0]))
    found: list[Candidate] = []
    for depth in range(max(map(len, domains.values()), default=0)):
        found += [domains[name][depth] for name in domain_order if depth < len(domains[name])]
    if caller.region:
        found.sort(key=lambda vm: vm.region != caller.region)
    return found


def _domain_sort_key(caller: Caller, first: Candidate) -> tuple[bool, bool, float]:
    same_domain = bool(caller.failure_domain) and first.failure_domain == caller.failure_domain
    same_region = bool(caller.region) and first.region == caller.region
    return not same_domain, not same_region, -_score(caller, first)


def _score(caller: Caller, vm: Candidate) -> float:
    """Return the weighted rendezvous score of a VM for this caller."""
    fraction = (rendezvous.weight(caller.identity, vm.name) + 0.5) / (HASH_RANGE + 1.0)
    weight = max(MIN_WEIGHT, 1.0 - vm.load)
    return weight / -math.log(min(fraction, 1.0 - 1e-16))


def _ttl_seconds(caller: Caller) -> float:
    fraction = rendezvous.weight(caller.identity, "keep") / HASH_RANGE
    return round(ADDRESS_LIST_TTL_SECONDS * (1.0 - TTL_SPREAD * fraction), 1)
