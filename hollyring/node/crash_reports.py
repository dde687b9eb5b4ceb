"""What a VM tells and learns of crashes of servers and of what is blamed for them."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

import anyio

from hollyring.core import identities
from hollyring.membership import heartbeat
from hollyring.node import clock, logs
from hollyring.routing import crashes, registry

REPEAT_SECONDS = 10.0
"""Time for which a crash that this VM saw is repeated, for VMs that missed its report."""

FUTILE_REFUSALS = 20
FUTILE_SECONDS = 10.0
"""Refusals and time without any answer that ended whole, from which blames count as wrong.

Servers that crash whatever they answer, as of a faulty release, leave every part under suspicion.
"""

DISTRUST_SECONDS = 30.0
"""Time after that for which nothing is blamed."""

MAX_PENDING_SERVERS = 128
MAX_EVENTS_BEFORE_CRASH = 1
"""Most events of an answer whose request may have crashed its server: it does so as it begins."""


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenServer:
    """Server that broke off requests, and their parts; whether it crashed is not known yet."""

    server: identities.Incarnation
    address: str
    parts: set[str]


@dataclasses.dataclass(slots=True)
class _OwnReport:
    report: crashes.CrashReport
    at: float
    sent: bool = False


class CrashReports:
    """Crashes as seen by this VM and by the others.

    Parameters
    ----------
    vm
        Name of this VM.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._crashes = crashes.PartCrashes()
        self._pending: dict[identities.Incarnation, BrokenServer] = {}
        self._own: list[_OwnReport] = []
        self._sound: set[str] = set()
        self._answered: set[str] = set()
        self._new_blames: list[crashes.Blame] = []
        self._refusals_since_whole = 0
        self._whole_at = -math.inf
        self._distrust_until = -math.inf
        self._broken = anyio.Event()
        self._counts: collections.Counter[str] = collections.Counter()
        self._log = logs.Logger("crashes")

    @property
    def counts(self) -> dict[str, int]:
        """Crashes seen by this VM, blames since the start and blames that hold."""
        return {
            "server_crashes_total": self._counts["crashes"],
            "prompt_blames_total": self._counts["blamed"],
            "prompt_blames": len(self._crashes.blames()),
        }

    def has_recent(self, now: float) -> bool:
        """Return whether this VM lately saw a crash, which it tells the other VMs."""
        return any(now - own.at <= REPEAT_SECONDS for own in self._own)

    def record_broken(
        self, upstream: registry.Upstream, suspects: Iterable[str], events: int
    ) -> None:
        """Record that a server broke a request off after some events of its answer.

        Parameters
        ----------
        suspects
            Hashes of what may have crashed the server; see `crashes.suspects`.
        """
        if events > MAX_EVENTS_BEFORE_CRASH:
            return
        server = upstream.incarnation
        if server not in self._pending and len(self._pending) >= MAX_PENDING_SERVERS:
            return
        broken = self._pending.setdefault(
            server, BrokenServer(server, upstream.entry.address, set())
        )
        broken.parts.update(suspects)
        self._broken.set()

    async def wait_broken(self) -> list[BrokenServer]:
        """Wait until servers have broken off requests, and return them; they stay pending."""
        await self._broken.wait()
        self._broken = anyio.Event()
        return self.pending()

    def pending(self) -> list[BrokenServer]:
        """Return the servers that broke off requests and may have crashed."""
        return list(self._pending.values())

    def resolve(self, broken: BrokenServer, crashed: bool) -> None:
        """Record whether a server that broke off requests has crashed."""
        self._pending.pop(broken.server, None)
        if not crashed:
            return
        now = clock.now()
        report = crashes.CrashReport(broken.server, frozenset(broken.parts))
        self._counts["crashes"] += 1
        self._log.info("server crashed", upstream=str(broken.server), parts=len(broken.parts))
        self._own.append(_OwnReport(report, now))
        self._record_crash(report, self._vm, now)

    def record_whole(self, suspects: Iterable[str]) -> None:
        """Record that an answer ended whole, so that nothing of its request crashes servers."""
        self._whole_at = clock.now()
        self._refusals_since_whole = 0
        self._sound |= self._crashes.record_sound(suspects, self._whole_at)

    def blame_of(self, suspects: Iterable[str]) -> crashes.Blame | None:
        """Return the blame of a request or a part of its prompt, None if neither is blamed."""
        if not self._crashes.any_blamed:
            return None
        blame = self._crashes.blamed(suspects, clock.now())
        if blame is not None:
            self._refusals_since_whole += 1
        return blame

    def reason_to_refuse(self, suspects: Iterable[str]) -> crashes.Blame | None:
        """Return the blame of a new request, None if it may be sent, also on trial."""
        blame = self.blame_of(suspects)
        if blame is None or not self._crashes.begin_trial(blame, self._vm, clock.now()):
            return blame
        self._log.info("blamed request sent on trial", parts=sorted(blame.parts))
        return None

    def tick(self, now: float) -> None:
        """Decide which parts are to blame."""
        if self._is_futile(now):
            self._log.info("blames forgotten as no answer ends whole")
            self._crashes.forget_all()
            self._refusals_since_whole = 0
            self._distrust_until = now + DISTRUST_SECONDS
        if now < self._distrust_until:
            return
        for blame in self._crashes.decide(now):
            self._new_blames.append(blame)
            self._log_blame(blame, self._vm)

    def _is_futile(self, now: float) -> bool:
        """Return whether refusing requests has not helped the others."""
        refuses = self._refusals_since_whole >= FUTILE_REFUSALS
        return refuses and now - self._whole_at > FUTILE_SECONDS

    def receive(self, sender: str, message: heartbeat.Heartbeat, now: float) -> None:
        """Process what another VM's heartbeat tells of crashes."""
        self._crashes.record_sound(message.sound_parts, now)
        self._crashes.record_earlier(message.answered_requests, now)
        for crashed in message.crashes:
            server = identities.Incarnation(crashed.upstream, crashed.life)
            report = crashes.CrashReport(server, frozenset(crashed.parts))
            self._record_crash(report, sender, now)
        self.adopt(sender, message.blamed_parts, now)

    def _record_crash(self, report: crashes.CrashReport, witness: str, now: float) -> None:
        self._sound |= self._crashes.record_crash(report, witness, now)
        answered = self._crashes.answered_earlier(report, now)
        self._crashes.record_earlier(answered, now)
        self._answered |= answered

    def adopt(self, sender: str, blamed: list[heartbeat.BlamedParts], now: float) -> None:
        """Blame the parts that another VM blames, and tell it of those that are sound.

        It may have concluded alone, while it did not reach the VMs that could clear them.
        """
        if now < self._distrust_until:
            return
        for item in blamed:
            blame = crashes.Blame(frozenset(item.parts), tuple(item.servers), tuple(item.witnesses))
            self._sound |= self._crashes.cleared_by_answers(blame, now)
            seconds = item.seconds if item.seconds >= 0.0 else crashes.BLAME_SECONDS
            if self._crashes.adopt(blame, now, seconds):
                self._log_blame(blame, sender)

    def take_crashes(self, now: float, repeat: bool) -> list[heartbeat.CrashedServer]:
        """Return the crashes to report in the next heartbeat, with those reported lately."""
        self._own = [own for own in self._own if now - own.at <= REPEAT_SECONDS]
        due = [own for own in self._own if repeat or not own.sent]
        for own in due:
            own.sent = True
        return [
            heartbeat.CrashedServer(
                own.report.server.name, own.report.server.number, sorted(own.report.parts)
            )
            for own in due
        ]

    def take_sound_parts(self) -> list[str]:
        """Return the parts to clear of suspicion in the next heartbeat."""
        sound, self._sound = self._sound, set()
        return sorted(sound)

    def take_answered_requests(self) -> list[str]:
        """Return the requests at crashes that were answered before, for the next heartbeat."""
        answered, self._answered = self._answered, set()
        return sorted(answered)

    def take_blamed_parts(self, repeat: bool) -> list[heartbeat.BlamedParts]:
        """Return the parts to blame in the next heartbeat: the new ones or all."""
        new, self._new_blames = self._new_blames, []
        return [self._encode(blame) for blame in (self._crashes.blames() if repeat else new)]

    def blamed_parts(self) -> list[heartbeat.BlamedParts]:
        """Return all blamed parts."""
        return [self._encode(blame) for blame in self._crashes.blames()]

    def _log_blame(self, blame: crashes.Blame, source: str) -> None:
        self._counts["blamed"] += 1
        self._log.info(
            "requests blamed",
            parts=sorted(blame.parts),
            servers=list(blame.servers),
            witnesses=list(blame.witnesses),
            source=source,
        )

    def _encode(self, blame: crashes.Blame) -> heartbeat.BlamedParts:
        seconds = self._crashes.seconds_left(blame, clock.now())
        return heartbeat.BlamedParts(
            sorted(blame.parts), list(blame.servers), list(blame.witnesses), round(seconds, 3)
        )
