"""Releases as one VM takes part in them: where its requests go, and what it counts of the answers.

`hollyring.releases` holds the rules; `release_controller` writes what is decided.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from hollyring.core import identities
from hollyring.membership import heartbeat
from hollyring.node import logs
from hollyring.releases import answer_times, evidence, exposure, messages, release, tally
from hollyring.routing import registry, selection

if typing.TYPE_CHECKING:
    from hollyring.node import request_context, state

RATE_SECONDS = 2.0
"""Time over which the present rate of a service's requests is measured."""

REPORT_SECONDS = 15.0
"""Time after the deadline of an order until which its counts are told to other VMs."""

LATE_WARM_SHARE = 0.5
"""Share of a release's time after which cold upstreams are tried as well."""


class ActiveRelease:
    """One order, its state as this VM knows it, and what the VMs have counted.

    Parameters
    ----------
    order
        The operator's order.
    began_at
        Time of the order as far as this VM knows, in seconds of `clock.now`.
    """

    def __init__(self, order: messages.ReleaseOrder, began_at: float) -> None:
        self.order = order
        self.began_at = began_at
        self.state: messages.ReleaseState | None = None
        self.rejected: frozenset[str] = frozenset()
        self.exposure = exposure.Exposure()
        self.tally = tally.Tally()
        self.evidence = evidence.Evidence()
        self.requests = 0
        self.exposed = 0
        self._routes: dict[str, collections.Counter[str]] = {}
        self._faults: dict[tuple[str, str], collections.Counter[str]] = {}
        self._times: dict[str, answer_times.AnswerTimes] = {}
        self._rates: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def is_running(self) -> bool:
        """Whether the release has not ended."""
        return self.state is None or not self.state.phase.is_final

    def elapsed_seconds(self, now: float) -> float:
        """Return the time since the order, at least."""
        return now - self.began_at

    def adopt(self, state: messages.ReleaseState, now: float) -> bool:
        """Take over a stored state; an end that is known stays. Return whether it is new."""
        if state.order_id != self.order.order_id:
            self.rejected |= state.rejected_for(self.order)
            return False
        if state == self.state:
            return False
        if self.state is not None and self.state.phase.is_final and not state.phase.is_final:
            return False
        self.state = state
        self.rejected |= frozenset(state.rejected)
        self.began_at = min(self.began_at, now - state.elapsed_seconds)
        return True

    def record_answer(
        self, upstream: registry.Upstream, route: str, is_failed: bool, is_slow: bool
    ) -> None:
        """Count an answer of the service."""
        counts = self._routes.setdefault(route, collections.Counter())
        if upstream.entry.software != self.order.target:
            counts["answers"] += 1
            counts["failed"] += is_failed
            counts["slow"] += is_slow
            return
        counts["target"] += 1
        if is_failed or is_slow:
            faults = self._faults.setdefault((route, upstream.name), collections.Counter())
            faults["failed"] += is_failed
            faults["slow"] += is_slow

    def judge_time(
        self, upstream: registry.Upstream, route: str, seconds: float, expected_seconds: float
    ) -> bool:
        """Return whether an answer is slow; one of the baseline adds to the measure."""
        times = self._times.setdefault(route, answer_times.AnswerTimes())
        is_slow = times.is_slow(seconds, expected_seconds)
        if upstream.entry.software != self.order.target:
            times.record(seconds, expected_seconds)
        return is_slow

    def report(self) -> heartbeat.ReleaseReport:
        """Return what this VM has counted."""
        return heartbeat.ReleaseReport(
            self.order.service,
            self.order.order_id,
            self.requests,
            self.exposed,
            [
                heartbeat.ReleaseRoute(
                    route, counts["answers"], counts["failed"], counts["slow"], counts["target"]
                )
                for route, counts in self._routes.items()
            ],
            [
                heartbeat.ReleaseFaults(route, upstream, counts["failed"], counts["slow"])
                for (route, upstream), counts in self._faults.items()
            ],
        )

    def update_rate(self, requests: int, now: float) -> None:
        """Record the requests of all VMs up to now."""
        self._rates.append((now, requests))
        while len(self._rates) > 2 and self._rates[1][0] <= now - RATE_SECONDS:
            self._rates.popleft()

    def requests_per_second(self) -> float:
        """Return the present rate of the service's requests at all VMs."""
        if len(self._rates) < 2:
            return 0.0
        (first_at, first), (last_at, last) = self._rates[0], self._rates[-1]
        return max(0.0, last - first) / max(0.1, last_at - first_at)


class Releases:
    """The releases that the operator has ordered, none where the settings bound no exposure.

    Parameters
    ----------
    vm_state
        State of the upstreams and the other VMs, as known to this VM.
    rules
        Bounds on what a bad version may get; None to take no part in releases.
    """

    def __init__(self, vm_state: state.State, rules: messages.ReleaseRules | None) -> None:
        self._state = vm_state
        self._rules = rules
        self._active: dict[str, ActiveRelease] = {}
        self._seen_at: dict[str, dict[str, float]] = {}
        self._warm_at: dict[identities.Incarnation, float] = {}
        self._log = logs.Logger("release")

    @property
    def rules(self) -> messages.ReleaseRules | None:
        """Bounds on what a bad version may get; None if this VM takes no part in releases."""
        return self._rules

    @property
    def active(self) -> list[ActiveRelease]:
        """The newest order of each service."""
        return list(self._active.values())

    def get(self, service: str) -> ActiveRelease | None:
        """Return the newest order of a service with its state, if there is one."""
        return self._active.get(service)

    def apply_order(self, order: messages.ReleaseOrder, now: float) -> None:
        """Apply the operator's order; another one replaces that of its service."""
        known = self._active.get(order.service)
        if self._rules is None or (known is not None and known.order == order):
            return
        active = self._active[order.service] = ActiveRelease(order, now)
        if known is not None:
            unproven = known.state is None or known.state.phase is not messages.Phase.COMPLETED
            former = {known.order.target} if unproven else set()
            active.rejected = (known.rejected | former) - {order.target}
        self._log.info(
            "release ordered",
            service=order.service,
            target=order.target,
            seconds=order.seconds,
            order=order.order_id,
        )

    def apply_state(self, state: messages.ReleaseState, now: float) -> None:
        """Apply the state of a release as it stands in the store, or as this VM wrote it."""
        known = self._active.get(state.service)
        if known is None or not known.adopt(state, now):
            return
        self._log.info(
            "release state",
            service=state.service,
            target=state.target,
            phase=state.phase.value,
            share=state.share,
            elapsed=state.elapsed_seconds,
            exposed=state.exposed,
            requests=state.requests,
            why=state.why,
        )

    def observe_upstreams(self, now: float) -> None:
        """Note since when each software version is known, and when new upstreams are warm."""
        if self._rules is None:
            return
        registered = self._state.registry.upstreams.values()
        known = {upstream.incarnation for upstream in registered}
        self._warm_at = {key: at for key, at in self._warm_at.items() if key in known}
        seen_before, self._seen_at = self._seen_at, {}
        for upstream in registered:
            entry = upstream.entry
            seen_at = seen_before.get(entry.service, {}).get(entry.software, now)
            self._seen_at.setdefault(entry.service, {})[entry.software] = seen_at
            warm_at = now + entry.cold_seconds
            known_at = self._warm_at.get(upstream.incarnation, warm_at)
            self._warm_at[upstream.incarnation] = min(known_at, warm_at)

    def place(
        self, context: request_context.RequestContext, is_first: bool, now: float
    ) -> exposure.Placement:
        """Return where the next attempt of a request may go."""
        if self._rules is None:
            return exposure.ANYWHERE
        service = context.service.name
        active = self._active.get(service)
        if active is None:
            return exposure.Placement(self._not_yet_known(service, now))
        age = self._state.freshness.age_of(self._state.store_keys.vms, now)
        placement = active.exposure.place(
            active.state, active.order.target, context.software, is_first, age
        )
        withheld = placement.withheld
        unknown = self._not_yet_known(service, now) - {active.order.target}
        if active.state is not None and active.state.phase is messages.Phase.COMPLETED:
            unknown = frozenset()
            if not self._serves(service, active.order.target):
                withheld = frozenset()
        return dataclasses.replace(placement, withheld=withheld | unknown | active.rejected)

    def excluded(self, service: str, placement: exposure.Placement) -> frozenset[str]:
        """Return the target's upstreams that exposed requests don't go to."""
        active = self._active.get(service)
        if not placement.is_exposed or active is None or active.state is None:
            return frozenset()
        names = [upstream.name for upstream in self._targets(active)]
        used = exposure.spread(active.order.order_id, names, active.state.share)
        return frozenset(names).difference(used)

    def record_sent(self, context: request_context.RequestContext, to: registry.Upstream) -> None:
        """Count a request that is sent to an upstream."""
        active = self._active.get(context.service.name)
        if active is None:
            return
        active.requests += 1
        active.exposed += to.entry.software == active.order.target

    def record_answer(
        self,
        context: request_context.RequestContext,
        selected: selection.Selection,
        is_failed: bool,
        seconds: float | None,
    ) -> None:
        """Count an answer.

        Parameters
        ----------
        is_failed
            Whether its upstream failed.
        seconds
            Time to its first event, or for which none came; None if it says nothing about the
            upstream's speed.
        """
        active = self._active.get(context.service.name)
        if active is None:
            return
        route = context.route.name
        is_slow = seconds is not None and active.judge_time(
            selected.upstream, route, seconds, selected.expected_seconds
        )
        active.record_answer(selected.upstream, route, is_failed, is_slow)

    def reports(self, now: float) -> list[heartbeat.ReleaseReport]:
        """Return what to tell the other VMs."""
        return [
            active.report()
            for active in self._active.values()
            if active.elapsed_seconds(now) <= active.order.seconds + REPORT_SECONDS
        ]

    def receive(self, incarnation: str, reports: list[heartbeat.ReleaseReport]) -> None:
        """Record what another VM has counted."""
        for report in reports:
            active = self._active.get(report.service)
            if active is not None and active.order.order_id == report.order_id:
                active.tally.record(incarnation, report)

    def observation(self, active: ActiveRelease, now: float) -> release.Observation:
        """Return what this VM knows of a release, its own counts included."""
        vm = self._state.vm_info
        active.tally.record(f"{vm.name}#{vm.life}", active.report())
        stored = active.state
        requests = max(active.tally.requests, stored.requests if stored else 0)
        exposed = max(active.tally.exposed, stored.exposed if stored else 0)
        active.update_rate(active.tally.requests, now)
        active.evidence.add(active.tally.totals(), now)
        targets = self._targets(active)
        service = active.order.service
        others = [
            upstream
            for upstream in self._state.registry.of_service(service)
            if upstream.entry.software not in (active.order.target, *active.rejected)
        ]
        used = exposure.spread(
            active.order.order_id, [u.name for u in targets], stored.share if stored else 0.0
        )
        return release.Observation(
            active.elapsed_seconds(now),
            requests,
            exposed,
            active.requests_per_second(),
            tuple(sorted({u.entry.software for u in others if not u.leaving})),
            sum(self._is_warm(u, active, now) for u in targets),
            len(targets),
            sum(u.requests(now) for u in others),
            active.evidence.latest.target_answers,
            active.evidence.judge(len(used)),
            tuple(sorted(active.rejected)),
        )

    def _targets(self, active: ActiveRelease) -> list[registry.Upstream]:
        return [
            upstream
            for upstream in self._state.registry.of_service(active.order.service)
            if upstream.entry.software == active.order.target and not upstream.leaving
        ]

    def _serves(self, service: str, software: str) -> bool:
        return any(
            upstream.entry.software == software and not upstream.leaving
            for upstream in self._state.registry.of_service(service)
        )

    def _is_warm(self, upstream: registry.Upstream, active: ActiveRelease, now: float) -> bool:
        if active.elapsed_seconds(now) >= LATE_WARM_SHARE * active.order.seconds:
            return True
        return now >= self._warm_at.get(upstream.incarnation, now)

    def _not_yet_known(self, service: str, now: float) -> frozenset[str]:
        """Return versions that an order may name which this VM's copy does not have yet.

        An order stands in the store before the upstreams of its target do. So a copy of the
        operator's documents that was complete after a version was first seen names it, if any does.
        """
        seen = self._seen_at.get(service, {})
        if len(seen) < 2:
            return frozenset()
        complete_at = now - self._state.freshness.age_of(self._state.store_keys.operator, now)
        earliest = min(seen.values())
        return frozenset(v for v, at in seen.items() if at > max(complete_at, earliest))
