"""SWIM failure detector, whose cost per VM does not grow with the fleet size.

Each period a VM pings one other VM of its region, and piggybacks a bounded amount of gossip on its
messages. A member that answers neither the direct nor the indirect probes is suspected, and is
declared dead unless it refutes the suspicion. Only a member's own region suspects it. A region
from which nothing is received is reported as unreachable and none of its members is suspected, so
that a lost link between regions neither empties the table nor causes a storm of updates.

References
----------
A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent infection-style process group
membership protocol", 2002.
"""

from __future__ import annotations

import dataclasses

from hollyring.membership import actions, errors, gossip, messages, randomness, table, view

PERIOD_SPREAD = 0.1
"""Fraction by which the length of a period varies at random."""

PROBE_TIMEOUT_SECONDS = 0.3
"""Time to wait for an answer before the ping is repeated and indirect probes are sent."""

INDIRECT_PROBES = 3
"""Number of members that are sent a `PingRequest` if a probed member does not answer."""

REMOTE_PROBE_PERIODS = 5
"""Number of periods between two pings of another region or of a dead member."""

LOCAL_FAULT_PROBES = 5
"""Consecutive failed probes after which the likely cause is this VM's own link."""

LOCAL_FAULT_TIMEOUT_FACTOR = 3.0
"""Factor on the time until a suspect is declared dead, after `LOCAL_FAULT_PROBES` failures."""

PAUSE_THRESHOLD_SECONDS = 3.0
"""Gap between calls of `tick` or `handle` that counts as a pause; the view is stale after it."""

REGION_TIMEOUT_SECONDS = 60.0
"""Silence after which another region counts as unreachable."""

SYNC_INTERVAL_SECONDS = 10.0
"""Minimum time between two table synchronisations with other VMs."""

SYNC_DIGEST_MISMATCHES = 3
"""Number of differing digests received before the table is synchronised."""

MAX_SYNC_MEMBERS = 32
"""Maximum number of members, and of entries, in one answer to a synchronisation request."""

JOIN_RETRY_SECONDS = 0.5
"""Minimum time between two synchronisation requests of a VM that has just started."""

INCARNATION_MASK = 0x7FFFFF
INCARNATION_SHIFT_BITS = 32
"""Bit offset of the incarnation number, masked by `INCARNATION_MASK`, in sequence numbers.

The sequence numbers of different incarnations are disjoint, so that an answer to an earlier
incarnation is not accepted.
"""

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
    """State machine of the membership protocol on one VM.

    Parameters
    ----------
    local
        Profile of this VM.
    seeds
        Peer addresses to join through, which are also contacted occasionally afterwards.
    rng
        Seeded random number generator, e.g. a `random.Random`.
    now
        Current time in monotonic seconds.
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
        "_region_contact_at",
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
        self._region_contact_at: dict[str, float] = {}
        self._failed_probes = 0
        self._pause_sequence: int | None = None
        self._joined = not self._seeds
        self._pauses = 0

    @property
    def members(self) -> dict[str, table.Member]:
        """The other VMs by name, including dead ones that have not been removed yet."""
        return self._view.member_table.members

    @property
    def live(self) -> list[messages.Profile]:
        """This VM and the others that are neither dead nor leaving, including suspects.

        This VM is left out while it is leaving.
        """
        leaving = messages.Status.LEAVING
        others = [m for m in self._view.not_dead() if m.status is not leaving]
        found = [member.profile for member in others if not member.listed_leaving]
        return found if self._view.status is leaving else [self._local, *found]

    @property
    def entries(self) -> dict[str, messages.Entry]:
        """The highest version received of each entry, by name."""
        return self._view.entries

    @property
    def counts(self) -> dict[str, int]:
        """Number of members suspected and declared dead, own refutations and pauses so far."""
        return {**self._view.counts, "paused": self._pauses}

    @property
    def joined(self) -> bool:
        """Whether a synchronisation has been completed since the start, or there are no seeds."""
        return self._joined

    @property
    def replaced(self) -> bool:
        """Whether a later incarnation of this VM has been seen."""
        return self._view.replaced

    @property
    def due(self) -> float:
        """Monotonic time at which `tick` has work to do next."""
        probe = self._probe
        if probe is None or probe.indirect_probe_sent or probe.answered:
            return self._next_period_at
        return min(self._next_period_at, probe.indirect_probe_at)

    def may_act(self, now: float) -> bool:
        """Return whether this VM may act on its view, which is stale after a pause.

        To be called before each operation that another VM may have taken over meanwhile. After
        a pause of the process it is true again once a peer has answered a ping that was sent
        since, or while all other VMs are dead. A VM that was replaced may not act any more.
        """
        if now - self._last_call_at > PAUSE_THRESHOLD_SECONDS or self._view.replaced:
            return False
        return self._pause_sequence is None or not self._view.not_dead()

    def unreachable_regions(self, now: float) -> set[str]:
        """Return the other regions that have been silent for `REGION_TIMEOUT_SECONDS`."""
        regions = {member.profile.region for member in self.members.values()} - {self._local.region}
        contact_before = now - REGION_TIMEOUT_SECONDS
        return {
            region
            for region in regions
            if self._region_contact_at.get(region, now) < contact_before
        }

    def put_entry(self, name: str, version: int, value: bytes) -> None:
        """Distribute a small value to every VM by gossip.

        Raises
        ------
        EntryTooLargeError
            If `value` is longer than `MAX_ENTRY_VALUE_BYTES`.
        """
        if len(value) > MAX_ENTRY_VALUE_BYTES:
            raise errors.EntryTooLargeError(
                f"value of entry {name} is too long: {len(value)} bytes"
            )
        self._view.merge_entry(messages.Entry(name, version, value))

    def leave(self) -> None:
        """Announce that this VM accepts no new callers."""
        self._view.leave()

    def tick(self, now: float) -> Actions:
        """Run the work that is due at `now`."""
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
        """Process a message from a peer address."""
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
        """Probe a member next, because a connection from this VM to it failed."""
        if name in self.members:
            self._probe_order.append(name)

    def update_listed(self, vms: dict[str, bool], now: float) -> Actions:
        """Update the members from the platform's list, which may be out of date.

        A VM that has disappeared from the list was destroyed. One that has never been on the list
        may be new.

        Parameters
        ----------
        vms
            Whether each listed VM is leaving, by name.
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
        """Detect a pause of this process and extend the timeouts of suspects and regions by it."""
        gap, self._last_call_at = now - self._last_call_at, now
        if gap <= PAUSE_THRESHOLD_SECONDS:
            return []
        self._pauses += 1
        self._probe = None
        self._pause_sequence = self._sequence
        self._view.extend_suspicions(gap)
        self._region_contact_at = {
            region: contact_at + gap for region, contact_at in self._region_contact_at.items()
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
        """Return the next member to probe, from a random permutation of the region's members."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                member = self.members.get(name)
                if member is not None and member.status is not messages.Status.DEAD:
                    return name
            self._probe_order = [m.profile.name for m in self._view.not_dead(self._local.region)]
            self._rng.shuffle(self._probe_order)
        return None

    def _ping_remote(self, now: float) -> Actions:
        """Ping a member of another region and a dead member, as both may be reachable again."""
        chosen = []
        others = [m for m in self._view.not_dead() if m.profile.region != self._local.region]
        if others:
            regions = sorted({member.profile.region for member in others})
            for region in regions:
                self._region_contact_at.setdefault(region, now)
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
        helpers = self._view.not_dead(self._local.region)
        helpers = [member for member in helpers if member.profile.name != probe.name]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        request = messages.PingRequest(
            probe.sequence, self._local.name, self._local.incarnation, probe.name, probe.incarnation
        )
        return result + [actions.Send(member.profile.address, request) for member in chosen]

    def _finish_probe(self, now: float) -> Actions:
        """Suspect the member that was probed in the last period if it has not answered."""
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
        """Request a synchronisation if one is due and `_sync_address` returns an address."""
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
        """Synchronise with a requester in turn, as it may have members that no other VM has."""
        if now < self._last_sync_at + SYNC_INTERVAL_SECONDS:
            return []
        if not self._view.member_table.differing_buckets(request.digests):
            return []
        return [self._sync_request(address, now)]

    def _sync_address(self) -> str:
        """Return the address of a VM to synchronise with, or an empty string.

        This is a VM whose digests keep differing, else a seed that is not a member: contacting
        such seeds merges groups of VMs that have had no contact. While this VM is joining, any
        member is chosen in every second period, and members are not excluded from the seeds.
        """
        addresses = [member.profile.address for member in self._view.not_dead()]
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
            self._region_contact_at[member.profile.region] = now
        if digest != self._view.member_table.digest:
            self._digest_mismatches += 1
            self._differing_member = sender
        return self._merge_gossip(received, now)

    def _merge_gossip(self, received: messages.Gossip, now: float) -> Actions:
        return self._view.merge(received, now, self._timeout_factor())
