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

from hollyring.membership import actions, errors, gossip, messages, randomness, table, view

PERIOD_SPREAD = 0.1
"""Share by which a period varies at random."""

PROBE_TIMEOUT_SECONDS = 0.3
"""Wait for a direct answer before the ping is sent again and others are asked to try."""

INDIRECT_PROBES = 3
"""Members asked to try when the direct answer is missing."""

REMOTE_PROBE_PERIODS = 5
"""Periods from one ping of another region, or of a dead member, to the next."""

LOCAL_FAULT_PROBES = 5
"""Failed probes in a row after which a VM takes its own link for the likely cause."""

LOCAL_FAULT_TIMEOUT_FACTOR = 3.0
"""How much longer such a VM waits before it takes a suspect for dead."""

PAUSE_THRESHOLD_SECONDS = 3.0
"""A gap between two calls after which this VM doubts what it knows."""

REGION_TIMEOUT_SECONDS = 60.0
"""Silence after which another region counts as out of reach."""

SYNC_INTERVAL_SECONDS = 10.0
"""Least time between two comparisons of the table with another VM."""

SYNC_DIGEST_MISMATCHES = 3
"""Differing digests heard before the table is compared."""

MAX_SYNC_MEMBERS = 32
"""Most members in one answer to a comparison."""

JOIN_RETRY_SECONDS = 0.5
"""Pause between two questions of a VM that has just started."""

INCARNATION_MASK = 0x7FFFFF
INCARNATION_SHIFT_BITS = 32
"""Sequences of different lives lie apart, so that no answer to an earlier life counts."""

MAX_ENTRY_VALUE_BYTES = 64
MAX_PENDING_RELAYS = 64

Actions = list[actions.Action]


@dataclasses.dataclass(slots=True)
class _Probe:
    sequence: int
    name: str
    incarnation: int
    indirect_probe_at: float
    indirect_probe_sent: bool = False
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
        "_local",
        "_seeds",
        "_rng",
        "_view",
        "_sequence",
        "_probe",
        "_probe_order",
        "_relays",
        "_next_period_at",
        "_period_count",
        "_last_call_at",
        "_last_sync_at",
        "_digest_mismatches",
        "_differing_member",
        "_region_heard_at",
        "_failed_probes",
        "_pause_sequence",
        "_joined",
        "_pauses",
    )

    def __init__(
        self, local: messages.Profile, seeds: list[str], rng: randomness.Rng, now: float
    ) -> None:
        self._local = local
        self._seeds = [seed for seed in seeds if seed != local.address]
        self._rng = rng
        self._view = view.View(local)
        self._sequence = (local.incarnation & INCARNATION_MASK) << INCARNATION_SHIFT_BITS
        self._probe: _Probe | None = None
        self._probe_order: list[str] = []
        self._relays: dict[int, _Relay] = {}
        self._next_period_at = now + rng.random() * view.PERIOD_SECONDS
        self._period_count = 0
        self._last_call_at = now
        self._last_sync_at = now - SYNC_INTERVAL_SECONDS
        self._digest_mismatches = 0
        self._differing_member = ""
        self._region_heard_at: dict[str, float] = {}
        self._failed_probes = 0
        self._pause_sequence: int | None = None
        self._joined = not self._seeds
        self._pauses = 0

    @property
    def members(self) -> dict[str, table.Member]:
        """Every other VM that is known, by name, dead ones included for a while."""
        return self._view.member_table.members

    @property
    def live(self) -> list[messages.Profile]:
        """This VM and all that are neither dead nor leaving, suspects included."""
        leaving = messages.Status.LEAVING
        others = [m for m in self._view.alive() if m.status is not leaving]
        found = [member.profile for member in others if not member.listed_leaving]
        return found if self._view.status is leaving else [self._local, *found]

    @property
    def entries(self) -> dict[str, messages.Entry]:
        """The highest version heard of each entry."""
        return self._view.entries

    @property
    def counts(self) -> dict[str, int]:
        """Members suspected and taken for dead, own refutations and own pauses, so far."""
        return {**self._view.counts, "paused": self._pauses}

    @property
    def joined(self) -> bool:
        """Whether another VM has told all that it knows since this life began."""
        return self._joined

    @property
    def replaced(self) -> bool:
        """Whether a later life of this VM is known to run."""
        return self._view.replaced

    @property
    def due(self) -> float:
        """When `tick` has work to do."""
        probe = self._probe
        if probe is None or probe.indirect_probe_sent or probe.answered:
            return self._next_period_at
        return min(self._next_period_at, probe.indirect_probe_at)

    def may_act(self, now: float) -> bool:
        """Tell whether this VM may act on what it knows: not replaced, not just woken.

        Asked before each act that another VM may have taken over meanwhile. After a pause it
        is true again once a peer has answered a ping that was sent since, or while no other VM
        is believed alive.
        """
        if now - self._last_call_at > PAUSE_THRESHOLD_SECONDS or self._view.replaced:
            return False
        return self._pause_sequence is None or not self._view.alive()

    def unreachable_regions(self, now: float) -> set[str]:
        """Return the other regions that have been silent for `REGION_SILENCE_SECONDS`."""
        regions = {member.profile.region for member in self.members.values()} - {self._local.region}
        heard_before = now - REGION_TIMEOUT_SECONDS
        return {
            region for region in regions if self._region_heard_at.get(region, now) < heard_before
        }

    def put_entry(self, name: str, version: int, value: bytes) -> None:
        """Let a small value travel to every VM.

        Raises
        ------
        EntryTooLargeError
            If `value` is longer than `MAX_VALUE_BYTES`.
        """
        if len(value) > MAX_ENTRY_VALUE_BYTES:
            raise errors.EntryTooLargeError(f"{name}: {len(value)} bytes")
        self._view.merge_entry(messages.Entry(name, version, value))

    def leave(self) -> None:
        """Tell the others that this VM takes no new callers."""
        self._view.leave()

    def tick(self, now: float) -> Actions:
        """Do what the time demands."""
        result = self._detect_pause(now)
        result += self._view.expire(now)
        result += self._probe_indirectly(now)
        if now < self._next_period_at:
            return result
        spread = 1.0 + PERIOD_SPREAD * (2.0 * self._rng.random() - 1.0)
        self._next_period_at = now + view.PERIOD_SECONDS * spread
        self._period_count += 1
        result += self._finish_probe(now)
        return result + self._begin_period(now)

    def handle(self, message: messages.Message, address: str, now: float) -> Actions:
        """Take in a message that came from a peer address."""
        result = self._detect_pause(now)
        match message:
            case messages.Ping():
                result += self._receive(message.sender, message.digest, message.gossip, now)
                return result + self._acknowledge(message, address)
            case messages.Ack():
                result += self._receive(message.sender, message.digest, message.gossip, now)
                return result + self._handle_ack(message)
            case messages.PingRequest():
                return result + self._relay_ping(message, address)
            case messages.SyncRequest():
                result += self._merge_gossip(messages.Gossip([message.profile], [], []), now)
                result.append(actions.Send(address, self._sync_reply(message)))
                return result + self._sync_back(message, address, now)
            case messages.Sync():
                self._joined = self._joined or not message.more
                return result + self._merge_gossip(message.gossip, now)

    def connection_failed(self, name: str) -> None:
        """Take in that a connection of one's own to a member failed: it is probed next."""
        if name in self.members:
            self._probe_order.append(name)

    def update_listed(self, vms: dict[str, bool], now: float) -> Actions:
        """Take in the platform's lagging list: by name, whether the VM is leaving.

        A VM that the list has shown and no longer shows is destroyed. One that it doesn't show
        yet may be new.
        """
        result: Actions = []
        for name, member in list(self.members.items()):
            if name in vms:
                member.listed = True
                member.listed_leaving = vms[name]
            elif member.listed and member.status is not messages.Status.DEAD:
                result += self._view.set_status(name, messages.Status.DEAD, now)
        return result

    def _detect_pause(self, now: float) -> Actions:
        """Notice a gap in this process's own time, and forgive the others for it."""
        gap, self._last_call_at = now - self._last_call_at, now
        if gap <= PAUSE_THRESHOLD_SECONDS:
            return []
        self._pauses += 1
        self._probe = None
        self._pause_sequence = self._sequence
        self._view.extend_suspicions(gap)
        self._region_heard_at = {
            region: heard + gap for region, heard in self._region_heard_at.items()
        }
        return [actions.Paused(gap)]

    def _begin_period(self, now: float) -> Actions:
        result: Actions = []
        if self._period_count % REMOTE_PROBE_PERIODS == 0:
            result += self._ping_remote(now)
        result += self._sync_if_due(now)
        name = self._next_probe_target()
        if name is None:
            return result
        member = self.members[name]
        sequence = self._next_sequence()
        incarnation, indirect_probe_at = member.profile.incarnation, now + PROBE_TIMEOUT_SECONDS
        self._probe = _Probe(sequence, name, incarnation, indirect_probe_at)
        return [*result, self._ping(member, sequence)]

    def _next_probe_target(self) -> str | None:
        """Return the next member to probe; each of the region has its turn in random order."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                member = self.members.get(name)
                if member is not None and member.status is not messages.Status.DEAD:
                    return name
            self._probe_order = [m.profile.name for m in self._view.alive(self._local.region)]
            self._rng.shuffle(self._probe_order)
        return None

    def _ping_remote(self, now: float) -> Actions:
        """Ping another region, and a member taken for dead: both may be back."""
        chosen = []
        others = [m for m in self._view.alive() if m.profile.region != self._local.region]
        if others:
            regions = sorted({member.profile.region for member in others})
            for region in regions:
                self._region_heard_at.setdefault(region, now)
            region = regions[self._period_count // REMOTE_PROBE_PERIODS % len(regions)]
            chosen.append(self._rng.choice([m for m in others if m.profile.region == region]))
        if self._view.dead:
            chosen.append(self.members[self._rng.choice(self._view.dead)])
        return [self._ping(member, self._next_sequence()) for member in chosen]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, member: table.Member, sequence: int) -> actions.Send:
        profile = member.profile
        ping = messages.Ping(
            sequence,
            self._local.name,
            self._local.incarnation,
            profile.name,
            profile.incarnation,
            self._view.member_table.digest,
            self._view.next_payload(self._view.urgent_items(profile.name, profile.incarnation)),
        )
        return actions.Send(profile.address, ping)

    def _probe_indirectly(self, now: float) -> Actions:
        probe = self._probe
        if (
            probe is None
            or probe.answered
            or probe.indirect_probe_sent
            or now < probe.indirect_probe_at
        ):
            return []
        probe.indirect_probe_sent = True
        result: Actions = []
        if probe.name in self.members:
            result.append(self._ping(self.members[probe.name], probe.sequence))
        helpers = self._view.alive(self._local.region)
        helpers = [member for member in helpers if member.profile.name != probe.name]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        request = messages.PingRequest(
            probe.sequence, self._local.name, self._local.incarnation, probe.name, probe.incarnation
        )
        return result + [actions.Send(member.profile.address, request) for member in chosen]

    def _finish_probe(self, now: float) -> Actions:
        """Suspect the member of the last period's probe if nothing came back."""
        probe, self._probe = self._probe, None
        if probe is None:
            return []
        if probe.answered:
            self._failed_probes = 0
            return []
        self._failed_probes += 1
        member = self.members.get(probe.name)
        if member is None or member.profile.incarnation != probe.incarnation:
            return []
        if member.status >= messages.Status.SUSPECT:
            return []
        return self._view.set_status(
            probe.name, messages.Status.SUSPECT, now, self._timeout_factor()
        )

    def _timeout_factor(self) -> float:
        return LOCAL_FAULT_TIMEOUT_FACTOR if self._failed_probes >= LOCAL_FAULT_PROBES else 1.0

    def _acknowledge(self, ping: messages.Ping, address: str) -> Actions:
        for_this_vm = (ping.target, ping.target_incarnation) == (
            self._local.name,
            self._local.incarnation,
        )
        urgent: list[gossip.Item] = [] if for_this_vm else [self._local]
        urgent += self._view.urgent_items(ping.sender, ping.incarnation)
        ack = messages.Ack(
            ping.sequence if for_this_vm else 0,
            self._local.name,
            self._local.incarnation,
            self._view.member_table.digest,
            self._view.next_payload(urgent),
        )
        return [actions.Send(address, ack)]

    def _handle_ack(self, ack: messages.Ack) -> Actions:
        since = self._pause_sequence
        if since is not None and since < ack.sequence <= self._sequence:
            self._pause_sequence = None
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            relayed = dataclasses.replace(ack, sequence=relay.sequence)
            return [actions.Send(relay.address, relayed)]
        probe = self._probe
        if probe is None or probe.sequence != ack.sequence:
            return []
        if (ack.sender, ack.incarnation) == (probe.name, probe.incarnation):
            probe.answered = True
        return []

    def _relay_ping(self, request: messages.PingRequest, address: str) -> Actions:
        member = self.members.get(request.target)
        if member is None or member.profile.incarnation != request.target_incarnation:
            return []
        sequence = self._next_sequence()
        if len(self._relays) >= MAX_PENDING_RELAYS:
            del self._relays[next(iter(self._relays))]
        self._relays[sequence] = _Relay(address, request.sequence)
        return [self._ping(member, sequence)]

    def _sync_if_due(self, now: float) -> Actions:
        """Ask another VM for what this one lacks, when their digests keep differing."""
        interval = SYNC_INTERVAL_SECONDS if self._joined else JOIN_RETRY_SECONDS
        if now < self._last_sync_at + interval:
            return []
        address = self._sync_address()
        if not address:
            return []
        return [self._sync_request(address, now)]

    def _sync_request(self, address: str, now: float) -> actions.Send:
        self._last_sync_at = now
        self._digest_mismatches = 0
        self._differing_member = ""
        request = messages.SyncRequest(self._local, self._view.member_table.digests)
        return actions.Send(address, request)

    def _sync_back(self, request: messages.SyncRequest, address: str, now: float) -> Actions:
        """Ask the asker in turn, which may know of members that nobody else does."""
        if now < self._last_sync_at + SYNC_INTERVAL_SECONDS:
            return []
        if not self._view.member_table.differing_buckets(request.digests):
            return []
        return [self._sync_request(address, now)]

    def _sync_address(self) -> str:
        """Return a peer address: of a VM whose table differs, else of a seed that isn't known.

        The latter lets groups of VMs that never met find each other.
        """
        addresses = [member.profile.address for member in self._view.alive()]
        if not self._joined and addresses and self._period_count % 2:
            return self._rng.choice(addresses)
        differing = self.members.get(self._differing_member)
        if differing is not None and self._digest_mismatches >= SYNC_DIGEST_MISMATCHES:
            return differing.profile.address
        seeds = [seed for seed in self._seeds if not self._joined or seed not in addresses]
        return self._rng.choice(seeds) if seeds else ""

    def _sync_reply(self, request: messages.SyncRequest) -> messages.Sync:
        differing = self._view.member_table.differing_buckets(request.digests)
        found = [m for name, m in self.members.items() if table.bucket_of(name) in differing]
        found = [member for member in found if member.profile.name != request.profile.name]
        chosen = self._rng.sample(found, min(MAX_SYNC_MEMBERS, len(found)))
        profiles = [self._local, *(member.profile for member in chosen)]
        updates = [self._view.local_update(), *(member.update for member in chosen)]
        entries = list(self.entries.values())
        entries = self._rng.sample(entries, min(MAX_SYNC_MEMBERS, len(entries)))
        more = len(found) > len(chosen)
        payload = messages.Gossip(profiles, updates, entries)
        return messages.Sync(self._local.name, self._local.incarnation, more, payload)

    def _receive(self, sender: str, digest: int, received: messages.Gossip, now: float) -> Actions:
        member = self.members.get(sender)
        if member is not None:
            self._region_heard_at[member.profile.region] = now
        if digest != self._view.member_table.digest:
            self._digest_mismatches += 1
            self._differing_member = sender
        return self._merge_gossip(received, now)

    def _merge_gossip(self, received: messages.Gossip, now: float) -> Actions:
        return self._view.merge(received, now, self._timeout_factor())
