"""Liveness of VMs by heartbeats whose cost per VM doesn't grow with the fleet.

Each period a VM pings one other of its region and passes on bounded news. A member that answers
neither directly nor through others is suspected, may refute that, and else is taken for dead.
Only a member's own region judges it: another region that can't be heard is marked as such and
nobody in it is suspected, so that a lost link between regions neither empties the table nor
ends in a storm.

References
----------
A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent infection-style process group
membership protocol", 2002.
"""

from __future__ import annotations

import dataclasses

from hollyring.membership import actions, beliefs, errors, gossip, messages, source, table

PERIOD_SPREAD = 0.1
"""Share by which a period varies at random."""

PROBE_SECONDS = 0.3
"""Wait for a direct answer before the ping is sent again and others are asked to try."""

HELPERS = 3
"""Members asked to try when the direct answer is missing."""

OUTSIDE_PERIODS = 5
"""Periods from one ping of another region, or of a dead member, to the next."""

STREAK = 5
"""Failed probes in a row after which a VM takes its own link for the likely cause."""

STREAK_PATIENCE = 3.0
"""How much longer such a VM waits before it takes a suspect for dead."""

PAUSE_SECONDS = 3.0
"""A gap between two calls after which this VM doubts what it knows."""

REGION_SILENCE_SECONDS = 60.0
"""Silence after which another region counts as out of reach."""

SYNC_SECONDS = 10.0
"""Least time between two comparisons of the table with another VM."""

SYNC_MISMATCHES = 3
"""Differing digests heard before the table is compared."""

SYNC_MEMBERS = 32
"""Most members in one answer to a comparison."""

JOIN_SECONDS = 0.5
"""Pause between two questions of a VM that has just started."""

LIFE_MASK = 0x7FFFFF
LIFE_SHIFT_BITS = 32
"""Sequences of different lives lie apart, so that no answer to an earlier life counts."""

MAX_VALUE_BYTES = 64
MAX_RELAYS = 64

Actions = list[actions.Action]


@dataclasses.dataclass(slots=True)
class _Probe:
    sequence: int
    name: str
    number: int
    ask_others_at: float
    asked_others: bool = False
    answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Relay:
    address: str
    sequence: int


class Members:
    """One VM's part in the membership protocol.

    Parameters
    ----------
    me
        This life of this VM.
    seeds
        Peer addresses to ask while nobody is known, and now and then afterwards.
    source
        Seeded randomness, e.g. a `random.Random`.
    now
        Monotonic seconds.
    """

    __slots__ = (
        "_me",
        "_seeds",
        "_source",
        "_beliefs",
        "_sequence",
        "_probe",
        "_order",
        "_relays",
        "_next_period",
        "_periods",
        "_last_seen",
        "_last_sync",
        "_mismatches",
        "_differing",
        "_heard",
        "_streak",
        "_doubted_from",
        "_joined",
        "_pauses",
    )

    def __init__(
        self, me: messages.Profile, seeds: list[str], source: source.Source, now: float
    ) -> None:
        self._me = me
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._source = source
        self._beliefs = beliefs.Beliefs(me)
        self._sequence = (me.number & LIFE_MASK) << LIFE_SHIFT_BITS
        self._probe: _Probe | None = None
        self._order: list[str] = []
        self._relays: dict[int, _Relay] = {}
        self._next_period = now + source.random() * beliefs.PERIOD_SECONDS
        self._periods = 0
        self._last_seen = now
        self._last_sync = now - SYNC_SECONDS
        self._mismatches = 0
        self._differing = ""
        self._heard: dict[str, float] = {}
        self._streak = 0
        self._doubted_from: int | None = None
        self._joined = not self._seeds
        self._pauses = 0

    @property
    def members(self) -> dict[str, table.Member]:
        """Every other VM that is known, by name, dead ones included for a while."""
        return self._beliefs.known.members

    @property
    def live(self) -> list[messages.Profile]:
        """This VM and all that are neither dead nor leaving, suspects included."""
        leaving = messages.Status.LEAVING
        others = [m for m in self._beliefs.alive() if m.status is not leaving]
        found = [member.profile for member in others if not member.listed_leaving]
        return found if self._beliefs.status is leaving else [self._me, *found]

    @property
    def entries(self) -> dict[str, messages.Entry]:
        """The highest version heard of each entry."""
        return self._beliefs.entries

    @property
    def counts(self) -> dict[str, int]:
        """Members suspected and taken for dead, own refutations and own pauses, so far."""
        return {**self._beliefs.counts, "paused": self._pauses}

    @property
    def joined(self) -> bool:
        """Whether another VM has told all that it knows since this life began."""
        return self._joined

    @property
    def replaced(self) -> bool:
        """Whether a later life of this VM is known to run."""
        return self._beliefs.replaced

    @property
    def due(self) -> float:
        """When `tick` has work to do."""
        probe = self._probe
        if probe is None or probe.asked_others or probe.answered:
            return self._next_period
        return min(self._next_period, probe.ask_others_at)

    def trusted(self, now: float) -> bool:
        """Tell whether this VM may act on what it knows: not replaced, not just woken.

        Asked before each act that another VM may have taken over meanwhile. After a pause it
        is true again once a peer has answered a ping that was sent since, or while no other VM
        is believed alive.
        """
        if now - self._last_seen > PAUSE_SECONDS or self._beliefs.replaced:
            return False
        return self._doubted_from is None or not self._beliefs.alive()

    def unreachable_regions(self, now: float) -> set[str]:
        """Return the other regions that have been silent for `REGION_SILENCE_SECONDS`."""
        regions = {member.profile.region for member in self.members.values()} - {self._me.region}
        limit = now - REGION_SILENCE_SECONDS
        return {region for region in regions if self._heard.get(region, now) < limit}

    def put_entry(self, name: str, version: int, value: bytes) -> None:
        """Let a small value travel to every VM.

        Raises
        ------
        EntryTooLargeError
            If `value` is longer than `MAX_VALUE_BYTES`.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.EntryTooLargeError(f"{name}: {len(value)} bytes")
        self._beliefs.hear_entry(messages.Entry(name, version, value))

    def leave(self) -> None:
        """Tell the others that this VM takes no new callers."""
        self._beliefs.leave()

    def tick(self, now: float) -> Actions:
        """Do what the time demands."""
        done = self._observe(now)
        done += self._beliefs.expire(now)
        done += self._ask_others(now)
        if now < self._next_period:
            return done
        spread = 1.0 + PERIOD_SPREAD * (2.0 * self._source.random() - 1.0)
        self._next_period = now + beliefs.PERIOD_SECONDS * spread
        self._periods += 1
        done += self._judge(now)
        return done + self._begin_period(now)

    def handle(self, message: messages.Message, address: str, now: float) -> Actions:
        """Take in a message that came from a peer address."""
        done = self._observe(now)
        match message:
            case messages.Ping():
                done += self._hear(message.sender, message.digest, message.news, now)
                return done + self._answer(message, address)
            case messages.Ack():
                done += self._hear(message.sender, message.digest, message.news, now)
                return done + self._acked(message)
            case messages.PingRequest():
                return done + self._relay(message, address)
            case messages.SyncRequest():
                done += self._hear_news(messages.News([message.profile], [], []), now)
                done.append(actions.Send(address, self._sync(message)))
                return done + self._ask_back(message, address, now)
            case messages.Sync():
                self._joined = self._joined or not message.more
                return done + self._hear_news(message.news, now)

    def connection_failed(self, name: str) -> None:
        """Take in that a connection of one's own to a member failed: it is probed next."""
        if name in self.members:
            self._order.append(name)

    def platform_list(self, vms: dict[str, bool], now: float) -> Actions:
        """Take in the platform's lagging list: by name, whether the VM is leaving.

        A VM that the list has shown and no longer shows is destroyed. One that it doesn't show
        yet may be new.
        """
        done: Actions = []
        for name, member in list(self.members.items()):
            if name in vms:
                member.listed = True
                member.listed_leaving = vms[name]
            elif member.listed and member.status is not messages.Status.DEAD:
                done += self._beliefs.say(name, messages.Status.DEAD, now)
        return done

    def _observe(self, now: float) -> Actions:
        """Notice a gap in this process's own time, and forgive the others for it."""
        gap, self._last_seen = now - self._last_seen, now
        if gap <= PAUSE_SECONDS:
            return []
        self._pauses += 1
        self._probe = None
        self._doubted_from = self._sequence
        self._beliefs.forgive(gap)
        self._heard = {region: heard + gap for region, heard in self._heard.items()}
        return [actions.Paused(gap)]

    def _begin_period(self, now: float) -> Actions:
        done: Actions = []
        if self._periods % OUTSIDE_PERIODS == 0:
            done += self._ping_outside(now)
        done += self._compare(now)
        name = self._next_target()
        if name is None:
            return done
        member = self.members[name]
        sequence = self._next_sequence()
        number, since = member.profile.number, now + PROBE_SECONDS
        self._probe = _Probe(sequence, name, number, since)
        return [*done, self._ping(member, sequence)]

    def _next_target(self) -> str | None:
        """Return the next member to probe; each of the region has its turn in random order."""
        for _ in range(2):
            while self._order:
                name = self._order.pop()
                member = self.members.get(name)
                if member is not None and member.status is not messages.Status.DEAD:
                    return name
            self._order = [m.profile.name for m in self._beliefs.alive(self._me.region)]
            self._source.shuffle(self._order)
        return None

    def _ping_outside(self, now: float) -> Actions:
        """Ping another region, and a member taken for dead: both may be back."""
        chosen = []
        others = [m for m in self._beliefs.alive() if m.profile.region != self._me.region]
        if others:
            regions = sorted({member.profile.region for member in others})
            for region in regions:
                self._heard.setdefault(region, now)
            region = regions[self._periods // OUTSIDE_PERIODS % len(regions)]
            chosen.append(self._source.choice([m for m in others if m.profile.region == region]))
        if self._beliefs.dead:
            chosen.append(self.members[self._source.choice(self._beliefs.dead)])
        return [self._ping(member, self._next_sequence()) for member in chosen]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, member: table.Member, sequence: int) -> actions.Send:
        profile = member.profile
        ping = messages.Ping(
            sequence,
            self._me.name,
            self._me.number,
            profile.name,
            profile.number,
            self._beliefs.known.digest,
            self._beliefs.news(self._beliefs.contradiction(profile.name, profile.number)),
        )
        return actions.Send(profile.address, ping)

    def _ask_others(self, now: float) -> Actions:
        probe = self._probe
        if probe is None or probe.answered or probe.asked_others or now < probe.ask_others_at:
            return []
        probe.asked_others = True
        done: Actions = []
        if probe.name in self.members:
            done.append(self._ping(self.members[probe.name], probe.sequence))
        helpers = self._beliefs.alive(self._me.region)
        helpers = [member for member in helpers if member.profile.name != probe.name]
        chosen = self._source.sample(helpers, min(HELPERS, len(helpers)))
        request = messages.PingRequest(
            probe.sequence, self._me.name, self._me.number, probe.name, probe.number
        )
        return done + [actions.Send(member.profile.address, request) for member in chosen]

    def _judge(self, now: float) -> Actions:
        """Suspect the member of the last period's probe if nothing came back."""
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        if probe.answered:
            self._streak = 0
            return []
        self._streak += 1
        member = self.members.get(probe.name)
        if member is None or member.profile.number != probe.number:
            return []
        if member.status >= messages.Status.SUSPECT:
            return []
        return self._beliefs.say(probe.name, messages.Status.SUSPECT, now, self._patience())

    def _patience(self) -> float:
        return STREAK_PATIENCE if self._streak >= STREAK else 1.0

    def _answer(self, ping: messages.Ping, address: str) -> Actions:
        meant = (ping.target, ping.target_number) == (self._me.name, self._me.number)
        first: list[gossip.Item] = [] if meant else [self._me]
        first += self._beliefs.contradiction(ping.sender, ping.number)
        ack = messages.Ack(
            ping.sequence if meant else 0,
            self._me.name,
            self._me.number,
            self._beliefs.known.digest,
            self._beliefs.news(first),
        )
        return [actions.Send(address, ack)]

    def _acked(self, ack: messages.Ack) -> Actions:
        since = self._doubted_from
        if since is not None and since < ack.sequence <= self._sequence:
            self._doubted_from = None
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            relayed = dataclasses.replace(ack, sequence=relay.sequence)
            return [actions.Send(relay.address, relayed)]
        probe = self._probe
        if probe is None or probe.sequence != ack.sequence:
            return []
        if (ack.sender, ack.number) == (probe.name, probe.number):
            probe.answered = True
        return []

    def _relay(self, request: messages.PingRequest, address: str) -> Actions:
        member = self.members.get(request.target)
        if member is None or member.profile.number != request.target_number:
            return []
        sequence = self._next_sequence()
        if len(self._relays) >= MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        self._relays[sequence] = _Relay(address, request.sequence)
        return [self._ping(member, sequence)]

    def _compare(self, now: float) -> Actions:
        """Ask another VM for what this one lacks, when their digests keep differing."""
        pause = SYNC_SECONDS if self._joined else JOIN_SECONDS
        if now < self._last_sync + pause:
            return []
        address = self._whom_to_compare_with()
        if not address:
            return []
        return [self._sync_request(address, now)]

    def _sync_request(self, address: str, now: float) -> actions.Send:
        self._last_sync = now
        self._mismatches = 0
        self._differing = ""
        request = messages.SyncRequest(self._me, self._beliefs.known.digests)
        return actions.Send(address, request)

    def _ask_back(self, request: messages.SyncRequest, address: str, now: float) -> Actions:
        """Ask the asker in turn, which may know of members that nobody else does."""
        if now < self._last_sync + SYNC_SECONDS:
            return []
        if not self._beliefs.known.differing(request.digests):
            return []
        return [self._sync_request(address, now)]

    def _whom_to_compare_with(self) -> str:
        """Return a peer address: of a VM whose table differs, else of a seed that isn't known.

        The latter lets groups of VMs that never met find each other.
        """
        known = [member.profile.address for member in self._beliefs.alive()]
        if not self._joined and known and self._periods % 2:
            return self._source.choice(known)
        differing = self.members.get(self._differing)
        if differing is not None and self._mismatches >= SYNC_MISMATCHES:
            return differing.profile.address
        seeds = [seed for seed in self._seeds if not self._joined or seed not in known]
        return self._source.choice(seeds) if seeds else ""

    def _sync(self, request: messages.SyncRequest) -> messages.Sync:
        differing = self._beliefs.known.differing(request.digests)
        found = [m for name, m in self.members.items() if table.bucket(name) in differing]
        found = [member for member in found if member.profile.name != request.profile.name]
        chosen = self._source.sample(found, min(SYNC_MEMBERS, len(found)))
        profiles = [self._me, *(member.profile for member in chosen)]
        updates = [self._beliefs.my_update(), *(member.update for member in chosen)]
        entries = list(self.entries.values())
        entries = self._source.sample(entries, min(SYNC_MEMBERS, len(entries)))
        more = len(found) > len(chosen)
        news = messages.News(profiles, updates, entries)
        return messages.Sync(self._me.name, self._me.number, more, news)

    def _hear(self, sender: str, digest: int, news: messages.News, now: float) -> Actions:
        member = self.members.get(sender)
        if member is not None:
            self._heard[member.profile.region] = now
        if digest != self._beliefs.known.digest:
            self._mismatches += 1
            self._differing = sender
        return self._hear_news(news, now)

    def _hear_news(self, news: messages.News, now: float) -> Actions:
        return self._beliefs.hear(news, now, self._patience())
