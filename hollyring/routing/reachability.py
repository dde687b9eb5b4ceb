"""Whether this VM reaches the upstreams of a service, as far as its connections show.

A connection that an upstream refuses, leaves unanswered or resets raises a suspicion about its
service. Then a few other upstreams are connected to, and if none of them answers, some more. One
that takes a connection resolves the suspicion; if none does, the VM takes itself for cut off until
one does.

Open connections may go on carrying the service while new ones are refused. Bytes on them don't
resolve a suspicion, but while they arrive requests are sent on open connections that are free.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import math
from collections.abc import Callable, Iterator

from hollyring.core import rendezvous
from hollyring.routing import registry

FIRST_PROBES = 3
"""Upstreams that a suspicion begins with; usually the first of them resolves it."""

MORE_PROBES = 8
"""Further upstreams if none of the first answers, so that a lost failure domain is no cut."""

MIN_WITNESSES = 2
"""Upstreams of a service below which those of other services show whether this VM is cut off.

The only server of a service may just be restarting.
"""

SUSPICION_INTERVAL_SECONDS = 0.5
"""Shortest time from the end of a suspicion about a service to the next one."""

EXPLAINED_SECONDS = 2.0
"""Time for which an upstream that failed while another answered raises no suspicion again."""

ROUND_TIMEOUT_SECONDS = 0.6
"""Longest time to wait for the outcomes of probes; one that a late event loop repeats takes it."""

REPEAT_SECONDS = 0.3
REPEATED_PROBES = 2
"""Time between two rounds of probes while cut off, and the upstreams of each round."""

LATE_SECONDS = 0.25
"""Delay of a round's end from which this process was paused and its probes are still unread."""

NO_PROBES_SECONDS = 0.1
"""Time until more probes may be possible after a VM has used up those that it may make."""

CARRIED_SECONDS = 0.5
"""Time after its last byte for which open connections count as carrying a service."""

MAX_OTHER_FAILURES = 1
"""Upstreams that refuse or reset at a VM whose connections are only slow; one may be down."""

PROBE_BURST = 60.0
PROBES_PER_SECOND = 30.0
"""Most probes of one VM at once and in the mean, whatever fails; 60 VMs do the same together."""


FreeConnections = Callable[[registry.Upstream], bool]
"""Returns whether an open connection to an upstream is free for a request."""


class Phase(enum.Enum):
    """What is known of the upstreams of a service."""

    REACHED = "reached"
    SUSPECTED = "suspected"
    OPEN_ONLY = "open connections only"
    CUT_OFF = "cut off"


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Connection to open in order to see whether an upstream takes it."""

    upstream: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseChange:
    """Change of what is known of a service.

    Parameters
    ----------
    failed
        Names of the upstreams that have failed since the suspicion began.
    """

    service: str
    phase: Phase
    failed: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Service:
    """What is known of a service; all but `phase` and `resolved_at` is of the current suspicion."""

    phase: Phase = Phase.REACHED
    resolved_at: float = -math.inf
    suspected_at: float = -math.inf
    due_at: float = math.inf
    rounds: int = 0
    failed: set[str] = dataclasses.field(default_factory=set)
    pending: set[str] = dataclasses.field(default_factory=set)
    late: set[str] = dataclasses.field(default_factory=set)
    witnesses: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_settled(self) -> bool:
        """Whether the upstreams are reached and no suspicion is due."""
        return self.phase is Phase.REACHED and math.isinf(self.due_at)


class Reachability:
    """Reachability of upstreams by service.

    Parameters
    ----------
    upstreams
        Registry of all upstreams.
    vm
        Name of this VM; each VM probes other upstreams.
    """

    __slots__ = (
        "_registry",
        "_vm",
        "_services",
        "_explained_until",
        "_changes",
        "_turn",
        "_has_free_connection",
        "_allowance",
        "_allowance_at",
    )

    def __init__(self, upstreams: registry.Registry, vm: str) -> None:
        self._registry = upstreams
        self._vm = vm
        self._services: dict[str, _Service] = {}
        self._explained_until: dict[str, float] = {}
        self._changes: list[PhaseChange] = []
        self._turn = 0
        self._has_free_connection: FreeConnections = _assume_free
        self._allowance = PROBE_BURST
        self._allowance_at = -math.inf

    def set_free_connections(self, has_free_connection: FreeConnections) -> None:
        """Ask `has_free_connection` where requests may be sent while new connections fail."""
        self._has_free_connection = has_free_connection

    @property
    def unreachable_services(self) -> list[str]:
        """Services whose upstreams take no new connection of this VM."""
        return sorted(name for name in self._services if not self.takes_connections(name))

    @property
    def is_any_suspected(self) -> bool:
        """Whether this VM is or may be cut off from the upstreams of a service."""
        return any(not known.is_settled for known in self._services.values())

    @property
    def due_at(self) -> float:
        """Time from which `take_probes` has something to do, infinite if there is nothing."""
        return min((known.due_at for known in self._services.values()), default=math.inf)

    def is_cut_off(self, service: str) -> bool:
        """Return whether this VM can send no request to an upstream of a service now."""
        match self._phase(service):
            case Phase.CUT_OFF:
                return True
            case Phase.OPEN_ONLY:
                return not any(map(self._has_free_connection, self._usable(service)))
            case _:
                return False

    def may_send(self, upstream: registry.Upstream) -> bool:
        """Return whether a request sent to an upstream now needs no connection that will fail."""
        if self._phase(upstream.entry.service) is not Phase.OPEN_ONLY:
            return True
        return self._has_free_connection(upstream)

    def open_may_hang(self, service: str) -> bool:
        """Return whether open connections to upstreams of a service may lead nowhere.

        An unsafe request needs a new one then, as it may not be repeated once it is written.
        """
        return self.is_suspected(service) and self._phase(service) is not Phase.OPEN_ONLY

    def takes_connections(self, service: str) -> bool:
        """Return whether upstreams of a service take new connections, as far as is known."""
        return self._phase(service) in (Phase.REACHED, Phase.SUSPECTED)

    def is_suspected(self, service: str) -> bool:
        """Return whether this VM is or may be cut off from the upstreams of a service."""
        known = self._services.get(service)
        return known is not None and not known.is_settled

    def may_be_cut_off(self, service: str) -> bool:
        """Return whether failures at upstreams of a service may show a cut and no fault of theirs.

        A VM that reaches another service is not cut off; then the upstreams are down.
        """
        if not self.is_suspected(service):
            return False
        if self.takes_connections(service):
            return True
        others = (name for name in self._services if name != service and self._usable(name))
        return all(self.is_suspected(name) for name in others)

    def record_connected(self, upstream: registry.Upstream, now: float) -> None:
        """Record that an upstream took a new connection."""
        self._explained_until.pop(upstream.name, None)
        for name, known in self._services.items():
            if name == upstream.entry.service or upstream.name in known.witnesses:
                self._resolve(name, known, now)

    def record_failed(self, upstream: registry.Upstream, now: float) -> None:
        """Record that an upstream refused, did not answer or reset a connection."""
        for probing in self._services.values():
            if upstream.name in probing.pending:
                probing.failed.add(upstream.name)
                probing.pending.discard(upstream.name)
                _hasten(probing, now)
        if self._is_explained(upstream.name, now):
            return
        known = self._services.setdefault(upstream.entry.service, _Service())
        known.failed.add(upstream.name)
        if known.phase is Phase.REACHED:
            suspect_at = max(now, known.resolved_at + SUSPICION_INTERVAL_SECONDS)
            known.due_at = min(known.due_at, suspect_at)

    def record_late(self, upstream: registry.Upstream, now: float) -> None:
        """Record that an upstream has not yet taken a connection, though most do in less time."""
        known = self._services.get(upstream.entry.service)
        if known is None or known.is_settled:
            self.record_failed(upstream, now)
            self._services[upstream.entry.service].late.add(upstream.name)
        for known in self._services.values():
            if upstream.name in known.pending:
                known.late.add(upstream.name)
                _hasten(known, now)

    def take_probes(self, now: float) -> list[Probe]:
        """Return the connections to open now."""
        probes: list[Probe] = []
        for name, known in list(self._services.items()):
            if now >= known.due_at:
                probes += self._advance(name, known, now)
        return probes

    def take_changes(self) -> list[PhaseChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _phase(self, service: str) -> Phase:
        known = self._services.get(service)
        return Phase.REACHED if known is None else known.phase

    def _change(self, service: str, known: _Service, phase: Phase) -> None:
        if known.phase is phase:
            return
        known.phase = phase
        self._changes.append(PhaseChange(service, phase, tuple(sorted(known.failed))))

    def _resolve(self, service: str, known: _Service, now: float) -> None:
        """End a suspicion or a cut."""
        if known.phase is not Phase.REACHED:
            self._explain_failures(service, known, now)
            self._change(service, known, Phase.REACHED)
            known.resolved_at = now
        known.due_at = math.inf
        known.failed.clear()
        known.pending.clear()
        known.late.clear()
        known.witnesses.clear()

    def _explain_failures(self, service: str, known: _Service, now: float) -> None:
        """Hold a suspicion's failures against the upstreams, unless most failed, as in a cut."""
        if known.phase is not Phase.SUSPECTED:
            return
        if len(known.failed) > max(1, len(self._usable(service)) // 2):
            return
        explained = {n: until for n, until in self._explained_until.items() if until > now}
        self._explained_until = explained | dict.fromkeys(known.failed, now + EXPLAINED_SECONDS)

    def _advance(self, service: str, known: _Service, now: float) -> list[Probe]:
        match known.phase:
            case Phase.REACHED:
                self._begin_suspicion(service, known, now)
                return self._advance_suspicion(service, known, now)
            case Phase.SUSPECTED:
                return self._advance_suspicion(service, known, now)
            case _:
                return self._repeat(service, known, now)

    def _begin_suspicion(self, service: str, known: _Service, now: float) -> None:
        if known.resolved_at + SUSPICION_INTERVAL_SECONDS >= now:
            # The suspicion was put off, and what failed before it may be back.
            known.failed.clear()
        self._change(service, known, Phase.SUSPECTED)
        known.suspected_at = now
        known.rounds = 0
        known.due_at = now

    def _advance_suspicion(self, service: str, known: _Service, now: float) -> list[Probe]:
        """Begin the next round of probes, or end the suspicion as none has been answered."""
        if now - known.due_at > LATE_SECONDS:
            known.due_at = now + ROUND_TIMEOUT_SECONDS
            return []
        if known.rounds < 2:
            candidates = self._candidates(service, known, known.failed | known.pending, now)
            if candidates and self._allowed(now) < 1.0:
                known.due_at = now + NO_PROBES_SECONDS
                return []
            known.rounds += 1
            count = FIRST_PROBES if known.rounds == 1 else MORE_PROBES
            probes = self._round(known, candidates, count, now)
            if probes or known.pending:
                known.due_at = now + ROUND_TIMEOUT_SECONDS
                return probes
        if len(known.failed | known.pending) < MIN_WITNESSES or not self._usable(service):
            self._resolve(service, known, now)
            return []
        if self._is_congested(service, known, now):
            self._resolve(service, known, now)
            return []
        self._cut_off(service, known, now)
        return []

    def _is_congested(self, service: str, known: _Service, now: float) -> bool:
        """Return whether connections are only slow, as bytes arrive on open ones.

        A path that is cut refuses new connections where open ones live on.
        """
        refused = known.failed - known.late
        return len(refused) <= MAX_OTHER_FAILURES and self._is_carried(service, known, now)

    def _cut_off(self, service: str, known: _Service, now: float) -> None:
        known.failed |= known.pending
        known.pending.clear()
        self._change(service, known, Phase.CUT_OFF)
        self._judge_open_connections(service, known, now)
        known.due_at = now + REPEAT_SECONDS
        self._suspect_others(now)

    def _repeat(self, service: str, known: _Service, now: float) -> list[Probe]:
        """Probe again while cut off, unless the service has no upstream any more."""
        if not self._usable(service):
            self._resolve(service, known, now)
            return []
        self._judge_open_connections(service, known, now)
        known.due_at = now + REPEAT_SECONDS
        candidates = self._candidates(service, known, set(), now)
        return self._round(known, candidates, REPEATED_PROBES, now)

    def _suspect_others(self, now: float) -> None:
        """Suspect the other services too, before their next requests find out."""
        for service in {upstream.entry.service for upstream in self._registry.upstreams.values()}:
            other = self._services.setdefault(service, _Service())
            if (
                other.phase is Phase.REACHED
                and now - other.resolved_at >= SUSPICION_INTERVAL_SECONDS
            ):
                other.due_at = now

    def _judge_open_connections(self, service: str, known: _Service, now: float) -> None:
        carried = self._is_carried(service, known, now)
        self._change(service, known, Phase.OPEN_ONLY if carried else Phase.CUT_OFF)

    def _is_carried(self, service: str, known: _Service, now: float) -> bool:
        """Return whether bytes arrive on open connections to upstreams of a service."""
        since = max(known.suspected_at, now - CARRIED_SECONDS)
        return any(u.last_activity_at > since for u in self._registry.of_service(service))

    def _usable(self, service: str) -> list[registry.Upstream]:
        return [u for u in self._registry.of_service(service) if not u.leaving]

    def _candidates(
        self, service: str, known: _Service, excluded: set[str], now: float
    ) -> list[registry.Upstream]:
        """Return the upstreams to probe, the first of each failure domain before the others."""
        self._turn += 1
        own = self._usable(service)
        witnesses: list[registry.Upstream] = []
        if len(own) < MIN_WITNESSES:
            others = self._registry.upstreams.values()
            witnesses = [u for u in others if not u.leaving and u.entry.service != service]
            known.witnesses.update(upstream.name for upstream in witnesses)
        suitable = [u for u in own + witnesses if u.name not in excluded]
        key = f"{self._vm} {self._turn}".encode()
        suitable.sort(key=lambda upstream: rendezvous.weight(key, upstream.name))
        return sorted(_by_turns(suitable), key=lambda u: self._is_explained(u.name, now))

    def _is_explained(self, upstream: str, now: float) -> bool:
        """Return whether an upstream failed lately while others took connections."""
        return now < self._explained_until.get(upstream, -math.inf)

    def _round(
        self, known: _Service, candidates: list[registry.Upstream], count: int, now: float
    ) -> list[Probe]:
        chosen = candidates[: min(count, int(self._allowed(now)))]
        self._allowance -= len(chosen)
        known.pending.update(upstream.name for upstream in chosen)
        return [Probe(upstream.name, upstream.entry.address) for upstream in chosen]

    def _allowed(self, now: float) -> float:
        """Return the number of probes that this VM may make now."""
        grown = self._allowance + (now - self._allowance_at) * PROBES_PER_SECOND
        self._allowance = min(PROBE_BURST, grown)
        self._allowance_at = now
        return self._allowance


def _assume_free(_: registry.Upstream) -> bool:
    return True


def _hasten(known: _Service, now: float) -> None:
    """Advance a suspicion at once if its probes failed, or are late while others may follow."""
    if known.phase is not Phase.SUSPECTED:
        return
    if not known.pending or (known.rounds == 1 and known.pending <= known.late):
        known.due_at = min(known.due_at, now)


def _by_turns(upstreams: list[registry.Upstream]) -> Iterator[registry.Upstream]:
    """Yield the first upstream of each failure domain, then the second of each, and so on."""
    domains: dict[str, list[registry.Upstream]] = {}
    for upstream in upstreams:
        domains.setdefault(upstream.entry.domain, []).append(upstream)
    for same_turn in itertools.zip_longest(*domains.values()):
        yield from (upstream for upstream in same_turn if upstream is not None)
