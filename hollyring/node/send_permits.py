"""Permits to send requests to upstreams that named a limit: asks for them, and issues them.

Every VM ranks the serving VMs alike for an upstream, and the first one issues. A VM that is asked
though it ranks another one first denies, so that two VMs issue at once only while two hold
different VMs for silent. An issuer that reaches most of the fleet issues the whole limit, so
that VMs that are gone cost nothing; one that reaches half or less issues that part of it.

A request to an upstream that stands only so many rejections takes a place there. The VM tells the
issuer what became of it; after a change of the issuer, it tells the new one as well.
"""

from __future__ import annotations

import dataclasses
import math
import typing
from collections.abc import Iterable

from hollyring.core import identities, rendezvous
from hollyring.limits import send_permits, upstream_places
from hollyring.membership import heartbeat
from hollyring.node import clock, first_limits, interfaces, logs, state
from hollyring.routing import registry, request_limits

ASK_TIMEOUT_SECONDS = 0.15
"""Longest wait for the issuer's answer, after which the request goes elsewhere."""

PERMIT_TTL_SECONDS = 0.5
"""Time after asking within which a permit has to be used, by the clock of the VM that asked."""

MAJORITY = 0.5
"""Share of the serving VMs beyond which no other part of a divided fleet can reach as many."""

LOADS_SECONDS = 1.0
"""Time after beginning to serve within which the loads of all VMs have been received."""

NO_PLACE = -1.0
"""Rejections per second in a request for a permit that takes no place."""

UNANSWERED_RETRY_SECONDS = 0.3
"""Time for which an upstream is not used after its issuer did not answer or is another VM."""


class Messenger(first_limits.Caller, typing.Protocol):
    """Sends messages to other VMs, with and without a reply; see `hollyring.node.peers`."""

    def broadcast(self, addresses: Iterable[str], message: object) -> None:
        """Send a message that has no reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission to send one request to an incarnation of an upstream before a time.

    Parameters
    ----------
    place
        Name of the place that the request takes at the upstream, empty if it takes none.
    """

    upstream: identities.Incarnation
    valid_until: float
    place: str = ""


@dataclasses.dataclass(slots=True)
class _TakenPlace:
    """Place of one request; `doubtful` until its answer begins, if the issuer waits for that.

    `issuer` is the address of the VM that was asked for it, empty for this one.
    """

    upstream: identities.Incarnation
    place: str
    issuer: str
    doubtful: bool = False
    answered: bool = False


class SendPermits:
    """Permits of this VM.

    Parameters
    ----------
    vm_state
        State with the limits of the upstreams and the other VMs.
    peer_connections
        Connections to the other VMs.
    """

    def __init__(self, vm_state: state.State, peer_connections: Messenger) -> None:
        self._state = vm_state
        self._peers = peer_connections
        self._issuer = send_permits.PermitIssuer()
        self._first_limits = first_limits.FirstLimits(vm_state, peer_connections)
        self._taken: dict[str, _TakenPlace] = {}
        self._places = 0
        self._log = logs.Logger("limits")

    async def acquire(
        self,
        upstream: registry.Upstream,
        urgent: bool = False,
        request_id: str = "",
        seconds: float = 0.0,
    ) -> SendPermit | None:
        """Return a permit to send a request, or None and close the upstream for a while.

        A permit for an upstream without a limit ends when one becomes known.

        Parameters
        ----------
        request_id
            ID of a request that needs room at the upstream, empty for a call that needs none.
        seconds
            Longest time that the request takes.
        """
        if request_id:
            await self._first_limits.wait()
        incarnation = upstream.incarnation
        per_second = self._state.registry.request_limits.per_second(incarnation)
        stands = self._state.registry.rejection_limits.per_second(incarnation)
        takes_place = bool(request_id) and stands is not None
        if per_second is None and not takes_place:
            return SendPermit(incarnation, -math.inf)
        place = self._name_place() if takes_place else ""
        request = heartbeat.PermitRequest(
            incarnation.name,
            incarnation.number,
            request_limits.MIN_RATE if per_second is None else per_second,
            urgent,
            per_second is not None,
            stands if takes_place and stands is not None else NO_PLACE,
            place,
            seconds,
        )
        permit = SendPermit(incarnation, clock.now() + PERMIT_TTL_SECONDS, place)
        taken = _TakenPlace(incarnation, place, self._issuer_address(incarnation))
        if takes_place:
            self._taken[request_id] = taken
        answer = await self._ask(incarnation, request)
        if answer.granted:
            taken.doubtful = answer.doubtful
            return permit
        self._taken.pop(request_id, None)
        if not urgent:
            self._state.registry.request_limits.close(incarnation, clock.now() + answer.retry_after)
        return None

    def may_send(self, upstream: registry.Upstream, permit: SendPermit) -> bool:
        """Return whether a request may be sent now; a limit may have been named meanwhile."""
        incarnation = upstream.incarnation
        is_limited = self._state.registry.request_limits.per_second(incarnation) is not None
        stands = self._state.registry.rejection_limits.per_second(incarnation)
        if stands is not None and not permit.place:
            return False
        if stands is None and not is_limited:
            return True
        return permit.upstream == incarnation and clock.now() < permit.valid_until

    def record_answer(self, request_id: str, head: interfaces.ResponseHead) -> None:
        """Record the head of an answer, and tell the issuer at once of what it waits for."""
        taken = self._taken.get(request_id)
        if taken is None:
            return
        if head.not_run and not head.misdirected:
            del self._taken[request_id]
            self._report(taken, upstream_places.Outcome.REJECTED)
            return
        taken.answered = True
        if taken.doubtful:
            self._report(taken, upstream_places.Outcome.ACCEPTED)

    def release(self, request_id: str) -> None:
        """Return the place of a request that has ended or was not sent, if it has one."""
        taken = self._taken.pop(request_id, None)
        if taken is None:
            return
        is_answered = taken.answered
        outcome = upstream_places.Outcome
        self._report(taken, outcome.ANSWERED if is_answered else outcome.UNKNOWN)

    def answer(self, request: heartbeat.PermitRequest) -> heartbeat.PermitReply:
        """Answer another VM that asks for a permit."""
        upstream = identities.Incarnation(request.upstream, request.life)
        if self.issuing_vm(upstream, clock.now()) is not None:
            self._issuer.interrupt(upstream)
            return heartbeat.PermitReply(False, UNANSWERED_RETRY_SECONDS)
        permit = self._issue(upstream, request)
        return heartbeat.PermitReply(permit.granted, permit.retry_after, permit.doubtful)

    def receive_report(self, report: heartbeat.PlaceReport) -> None:
        """Record what became of a request of another VM that took a place."""
        try:
            outcome = upstream_places.Outcome(report.outcome)
        except ValueError:
            outcome = upstream_places.Outcome.UNKNOWN
        upstream = identities.Incarnation(report.upstream, report.life)
        self._end_place(upstream, report.place, outcome)

    def issuing_vm(self, upstream: identities.Incarnation, now: float) -> heartbeat.VmInfo | None:
        """Return the VM that issues the permits of an upstream, None if it is this one."""
        own_name = self._state.vm_info.name
        usable = {
            vm.name: vm
            for vm in self._state.peers.serving
            if vm.name == own_name or self._state.peers.may_answer(vm.name, now)
        }
        if not usable:
            return None
        first = rendezvous.rank(upstream.name.encode(), usable)[0]
        return None if first == own_name else usable[first]

    def _share(self, now: float) -> float:
        """Return the share of a limit that this VM may issue."""
        reachable = self._state.peers.reachable_fraction(now)
        return 1.0 if reachable > MAJORITY else reachable

    async def _ask(
        self, upstream: identities.Incarnation, request: heartbeat.PermitRequest
    ) -> send_permits.Permit:
        issuing_vm = self.issuing_vm(upstream, clock.now())
        if issuing_vm is None:
            return self._issue(upstream, request)
        self._issuer.interrupt(upstream)
        reply = await self._peers.call(issuing_vm.peer_address, request, ASK_TIMEOUT_SECONDS)
        if not isinstance(reply, heartbeat.PermitReply):
            self._log.info("no permit received", upstream=upstream.name, vm=issuing_vm.name)
            if request.place:
                # The issuer may have granted the place.
                lost = _TakenPlace(upstream, request.place, issuing_vm.peer_address)
                self._report(lost, upstream_places.Outcome.UNKNOWN)
            return send_permits.Permit(False, UNANSWERED_RETRY_SECONDS)
        return send_permits.Permit(reply.granted, reply.retry_after, reply.doubtful)

    def _issue(
        self, upstream: identities.Incarnation, request: heartbeat.PermitRequest
    ) -> send_permits.Permit:
        now = clock.now()
        self._issuer.forget(now)
        permit = send_permits.GRANTED
        if request.place:
            permit = self._issue_place(upstream, request, now)
        known = self._state.registry.request_limits.per_second(upstream)
        per_second = known or (request.per_second if request.limited else None)
        if per_second is None or not permit.granted:
            return permit
        rate = per_second * self._share(now)
        within_rate = self._issuer.issue(upstream, rate, now, request.urgent)
        if within_rate.granted:
            return permit
        self._end_place(upstream, request.place, upstream_places.Outcome.UNKNOWN)
        return within_rate

    def _issue_place(
        self, upstream: identities.Incarnation, request: heartbeat.PermitRequest, now: float
    ) -> send_permits.Permit:
        registered = self._state.registry.get(upstream.name)
        if registered is None or registered.incarnation != upstream:
            return send_permits.Permit(False, UNANSWERED_RETRY_SECONDS)
        known = self._state.registry.rejection_limits.per_second(upstream)
        stands = known or request.rejections_per_second
        # VMs that are not reached may cause rejections too, or have just done so.
        room = upstream_places.Room(
            stands * self._state.peers.reachable_fraction(now),
            registered.entry.slots * self._share(now),
            self._in_progress(registered, now),
        )
        return self._issuer.take_place(upstream, request.place, room, request.seconds, now)

    def _in_progress(self, upstream: registry.Upstream, now: float) -> int:
        """Return the requests of all VMs at an upstream, as many as it runs if that is unknown."""
        requests = upstream.requests(now)
        if now - self._state.serving_since < LOADS_SECONDS:
            return max(requests, upstream.entry.slots)
        return requests

    def _report(self, taken: _TakenPlace, outcome: upstream_places.Outcome) -> None:
        """Tell the VM that granted a place, and the one that issues now, what became of it."""
        upstream = taken.upstream
        if outcome is upstream_places.Outcome.REJECTED:
            self._log.info("rejected for want of room", upstream=upstream.name, place=taken.place)
        issuers = {taken.issuer, self._issuer_address(upstream)}
        if "" in issuers:
            self._end_place(upstream, taken.place, outcome)
            issuers.discard("")
        if issuers:
            report = heartbeat.PlaceReport(
                upstream.name, upstream.number, taken.place, outcome.value
            )
            self._peers.broadcast(sorted(issuers), report)

    def _issuer_address(self, upstream: identities.Incarnation) -> str:
        """Return the address of the VM that issues the permits, empty if it is this one."""
        issuing_vm = self.issuing_vm(upstream, clock.now())
        return "" if issuing_vm is None else issuing_vm.peer_address

    def _end_place(
        self, upstream: identities.Incarnation, place: str, outcome: upstream_places.Outcome
    ) -> None:
        self._issuer.end_place(upstream, place, outcome, clock.now())

    def _name_place(self) -> str:
        self._places += 1
        own = self._state.vm_info
        return f"{own.name}/{own.life}/{self._places}"
