"""The answer to `GET /v1/entry`: which VM addresses a caller should use, in order."""

from __future__ import annotations

import dataclasses
import math

from hollyring.core import rendezvous

ADDRESS_LIST_TTL_SECONDS = 10.0
"""How long a caller keeps an answer; a leaving VM serves at least this long."""

TTL_SPREAD = 0.2
"""Share by which the time to keep differs between callers, so that they don't ask at once."""

MAX_ADDRESSES = 6

HASH_RANGE = 2.0**64
MIN_WEIGHT = 0.05
"""Weight of a fully loaded VM, so that some callers still find it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A VM as this VM knows it.

    Parameters
    ----------
    name
        The VM's name.
    address
        Where callers connect.
    failure_domain, region
        Where it runs.
    usable
        Whether callers may be sent there: alive, and neither leaving nor dead.
    suspect
        Whether its heartbeats are missing; such a VM comes last.
    load
        Share of its capacity in use, from 0 to 1, as last heard.
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
    """Who asks.

    Parameters
    ----------
    identity
        Whatever tells callers apart, e.g. the address they connect from; it decides their order.
    failure_domain, region
        Where the caller is, or empty when unknown.
    """

    identity: bytes
    failure_domain: str = ""
    region: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPoints:
    """VMs in the order in which the caller should try them, and how long to keep this."""

    vms: list[Candidate]
    ttl_seconds: float


def choose(caller: Caller, candidates: list[Candidate], limit: int = MAX_ADDRESSES) -> EntryPoints:
    """Return the VMs that a caller should use.

    The first is in the caller's failure domain where that is known; then come other failure
    domains in turn, so that the loss of one costs a single retry. The caller's region comes
    before others. Within a failure domain, callers are spread by weighted rendezvous hashing:
    a VM's share is proportional to its free capacity, and one VM's going moves only its callers.

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
    """Take VMs from the failure domains in turn, the caller's own first."""
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
