"""Simulation of upstreams with little room, their issuers of places and VMs that ask these."""

import collections
import heapq
import itertools
import random

from hollyring.limits import upstream_places

PERMIT_TTL_SECONDS = 0.5
MESSAGE_SECONDS = 0.003
LOAD_AGE_SECONDS = 0.3
"""Age of what an issuer that takes over knows of the requests in progress."""


class Server:
    """Upstream that runs `slots` requests, lets `queue` wait and rejects the others."""

    def __init__(self, slots, queue):
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = collections.deque()
        self.rejected_at = []

    @property
    def in_progress(self):
        return self.running + len(self.waiting)

    @property
    def has_room(self):
        return self.running < self.slots or len(self.waiting) < self.queue

    def most_rejected_in_a_second(self):
        return max(
            (sum(at <= other < at + 1.0 for other in self.rejected_at) for at in self.rejected_at),
            default=0,
        )


class Simulation:
    """VMs with callers before some servers, of which each has an issuer of places.

    Parameters
    ----------
    all_knowing
        Whether requests are placed by what the servers have in progress, with no issuers.
    late
        Share of the messages that take between 0.1 and 1.5 s.
    lost
        Share of the reports of what became of a place that are lost.
    """

    def __init__(
        self, seed, vms=9, servers=3, slots=6, queue=24, stands=3.0, rate=250.0, **options
    ):
        self.random = random.Random(seed)
        self.servers = [Server(slots, queue) for _ in range(servers)]
        self.declared_slots = slots
        self.stands = stands
        self.rate = rate
        self.vms = vms
        self.all_knowing = options.get("all_knowing", False)
        self.late = options.get("late", 0.0)
        self.lost = options.get("lost", 0.0)
        self.seconds = options.get("seconds", 0.05)
        self.now = 0.0
        self.served = 0
        self.sent = 0
        self._events = []
        self._order = itertools.count()
        self._closed_until = collections.defaultdict(float)
        self._loads = collections.deque()
        self.issuers = [None] * servers
        for number in range(servers):
            self.restart_issuer(number)

    def at(self, time, call, *arguments):
        heapq.heappush(self._events, (time, next(self._order), call, arguments))

    def run(self, seconds):
        self.at(self.now, self._arrive, seconds)
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def restart_issuer(self, number):
        """Let another VM issue the places of a server, by loads that it was told of a while ago."""
        known = self._known_load(number)
        room = upstream_places.Room(self.stands, self.declared_slots, known)
        self.issuers[number] = upstream_places.Places(room, self.now)

    def _known_load(self, number):
        while self._loads and self._loads[0][0] < self.now - LOAD_AGE_SECONDS:
            self._loads.popleft()
        return self._loads[0][1][number] if self._loads else 0

    def _arrive(self, until):
        if self.now >= until:
            return
        self._loads.append((self.now, [server.in_progress for server in self.servers]))
        self.at(self.now + self.random.expovariate(self.rate), self._arrive, until)
        self.sent += 1
        numbers = self.random.sample(range(len(self.servers)), len(self.servers))
        if self.all_knowing:
            self._place(numbers)
        else:
            self._ask_next(self.random.randrange(self.vms), numbers)

    def _place(self, numbers):
        number = min(numbers, key=lambda n: self.servers[n].in_progress)
        if self.servers[number].has_room:
            self._receive(number, None)

    def _ask_next(self, vm, numbers):
        """Ask for a place at the first server that the VM may ask."""
        for position, number in enumerate(numbers):
            if self.now >= self._closed_until[vm, number]:
                self.at(self._later(), self._ask, vm, number, numbers[position + 1 :], self.now)
                return

    def _ask(self, vm, number, others, asked_at):
        known = self._known_load(number)
        room = upstream_places.Room(self.stands, self.declared_slots, known)
        place = f"{vm}/{next(self._order)}"
        answer = self.issuers[number].take(place, room, 2.0, self.now)
        self.at(self._later(), self._hear, vm, number, others, asked_at, place, answer)

    def _hear(self, vm, number, others, asked_at, place, answer):
        if isinstance(answer, upstream_places.PlaceDenied):
            self._closed_until[vm, number] = self.now + answer.retry_after
            self._ask_next(vm, others)
        elif self.now - asked_at >= PERMIT_TTL_SECONDS:
            self._report(number, place, upstream_places.Outcome.UNKNOWN)
            self._ask_next(vm, others)
        else:
            self.at(self.now + 0.001, self._receive, number, place)

    def _receive(self, number, place):
        server = self.servers[number]
        if server.running < server.slots:
            server.running += 1
            self.at(self._end_of_run(), self._finish, number, place)
        elif len(server.waiting) < server.queue:
            server.waiting.append(place)
        else:
            server.rejected_at.append(self.now)
            self._report(number, place, upstream_places.Outcome.REJECTED)

    def _finish(self, number, place):
        server = self.servers[number]
        self.served += 1
        server.running -= 1
        self._report(number, place, upstream_places.Outcome.ANSWERED)
        if server.waiting and server.running < server.slots:
            server.running += 1
            self.at(self._end_of_run(), self._finish, number, server.waiting.popleft())

    def _report(self, number, place, outcome):
        if place is not None and self.random.random() >= self.lost:
            self.at(self._later(), self._hear_report, number, place, outcome)

    def _hear_report(self, number, place, outcome):
        self.issuers[number].end(place, outcome, self.now)

    def _end_of_run(self):
        return self.now + self.random.expovariate(1.0 / self.seconds)

    def _later(self):
        is_late = self.random.random() < self.late
        return self.now + (self.random.uniform(0.1, 1.5) if is_late else MESSAGE_SECONDS)
