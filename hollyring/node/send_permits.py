"""Permits to send requests to upstreams that named a request limit: asks for them, and issues them.

Every VM ranks the serving VMs alike for an upstream, and the first one issues. A VM that is asked
though it ranks another one first denies, so that two VMs issue at once only while two hold
different VMs for silent. An issuer that reaches most of the fleet issues the whole limit, so
that VMs that are gone cost nothing; one that reaches half or less issues that part of it.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from hollyring.core import identities, rendezvous
from hollyring.limits import send_permits
from hollyring.membership import heartbeat
from hollyring.node import clock, logs, state
from hollyring.routing import registry

ASK_TIMEOUT_SECONDS = 0.15
"""Longest wait for the issuer's answer, after which the request goes elsewhere."""

PERMIT_TTL_SECONDS = 0.5
"""Time after asking within which a permit has to be used, by the clock of the VM that asked."""

MAJORITY = 0.5
"""Share of the serving VMs beyond which no other part of a divided fleet can reach as many."""

UNANSWERED_RETRY_SECONDS = 0.3
"""Time for which an upstream is not used after its issuer did not answer or is another VM."""


class Caller(typing.Protocol):
    """Sends a message to another VM and returns its reply; see `hollyring.node.peers`."""

    async def call(self, address: str, message: object, seconds: float) -> object | None:
        """Return the reply, None if none arrives in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendPermit:
    """Permission to send one request to an incarnation of an upstream before a time."""

    upstream: identities.Incarnation
    valid_until: float


class SendPermits:
    """Permits of this VM.

    Parameters
    ----------
    vm_state
        State with the limits of the upstreams and the other VMs.
    peer_connections
        Connections to the other VMs.
    """

    def __init__(self, vm_state: state.State, peer_connections: Caller) -> None:
        self._state = vm_state
        self._peers = peer_connections
        self._issuer = send_permits.PermitIssuer()
        self._log = logs.Logger("limits")

    async def acquire(self, upstream: registry.Upstream, urgent: bool = False) -> SendPermit | None:
        """Return a permit to send a request, or None and close the upstream for a while.

        A permit for an upstream without a limit ends when one becomes known.
        """
        limits = self._state.registry.request_limits
        per_second = limits.per_second(upstream.incarnation)
        if per_second is None:
            return SendPermit(upstream.incarnation, -math.inf)
        permit = SendPermit(upstream.incarnation, clock.now() + PERMIT_TTL_SECONDS)
        answer = await self._ask(upstream.incarnation, per_second, urgent)
        if answer.granted:
            return permit
        if not urgent:
            limits.close(upstream.incarnation, clock.now() + answer.retry_after)
        return None

    def may_send(self, upstream: registry.Upstream, permit: SendPermit) -> bool:
        """Return whether a request may be sent now; a limit may have been named meanwhile."""
        if self._state.registry.request_limits.per_second(upstream.incarnation) is None:
            return True
        return permit.upstream == upstream.incarnation and clock.now() < permit.valid_until

    def answer(self, request: heartbeat.PermitRequest) -> heartbeat.PermitReply:
        """Answer another VM that asks for a permit."""
        upstream = identities.Incarnation(request.upstream, request.life)
        if self.issuing_vm(upstream, clock.now()) is not None:
            return heartbeat.PermitReply(False, UNANSWERED_RETRY_SECONDS)
        permit = self._issue(upstream, request.per_second, request.urgent)
        return heartbeat.PermitReply(permit.granted, permit.retry_after)

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
        self, upstream: identities.Incarnation, per_second: float, urgent: bool
    ) -> send_permits.Permit:
        issuing_vm = self.issuing_vm(upstream, clock.now())
        if issuing_vm is None:
            return self._issue(upstream, per_second, urgent)
        request = heartbeat.PermitRequest(upstream.name, upstream.number, per_second, urgent)
        reply = await self._peers.call(issuing_vm.peer_address, request, ASK_TIMEOUT_SECONDS)
        if not isinstance(reply, heartbeat.PermitReply):
            self._log.info("no permit received", upstream=upstream.name, vm=issuing_vm.name)
            return send_permits.Permit(False, UNANSWERED_RETRY_SECONDS)
        return send_permits.Permit(reply.granted, reply.retry_after)

    def _issue(
        self, upstream: identities.Incarnation, per_second: float, urgent: bool
    ) -> send_permits.Permit:
        now = clock.now()
        self._issuer.forget(now)
        known = self._state.registry.request_limits.per_second(upstream)
        rate = (known or per_second) * self._share(now)
        return self._issuer.issue(upstream, rate, now, urgent)
