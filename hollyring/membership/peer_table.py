"""Table of the other VMs: which are alive, which serve callers, and whom to exchange data with.

A VM counts as alive while its heartbeats arrive. The store's list of VMs only provides the
addresses that heartbeats are sent to and keeps silent VMs in the table, so that VMs still detect
each other's failures while the store is unreachable or has lost their records.

A VM exchanges heartbeats with the serving VMs while it serves itself or is busy with requests. The
other VMs follow: they ask a serving VM for its `heartbeat.FleetStatus`.
"""

from __future__ import annotations

import dataclasses
import math

from hollyring.configuration import store_revision
from hollyring.core import rendezvous
from hollyring.membership import caller_shares, heartbeat, serving_set

ALIVE_TIMEOUT_SECONDS = 1.2
"""A VM whose last heartbeat is older does not count as alive, and callers are not sent to it."""

MIN_LATE_SECONDS = 0.1
"""Delay of a VM's periodic work from which heartbeats may lie unread, as its loop was late."""

READ_SECONDS = 0.3
"""Time in which what lay unread is read, and VMs that were late too send again."""

FIRST_HEARTBEAT_TIMEOUT_SECONDS = 2.0
"""Time for the first heartbeat of a VM that is selected to serve; it may be starting."""

REMOVE_AFTER_SECONDS = 60.0
"""Time after which a silent VM that is not on the store's list is removed from the table."""

DELISTED_TTL_SECONDS = 10.0
"""Time for which a silent VM that disappeared from the store's list may still be selected.

While the store is down, the records of all VMs may expire.
"""

STATUS_TTL_SECONDS = 3.0
"""Age up to which a VM that follows uses the status of a serving VM."""

STATUS_TIMEOUT_SECONDS = 1.5
"""Time without a status after which a VM that does not serve watches the store itself.

With the checks of its role it then still learns of a configuration within two seconds.
"""

SERVED_HOLD_SECONDS = 6.0
"""Time for which a VM that served callers goes on exchanging heartbeats.

Callers keep its address for a few times the lifetime of an entry response.
"""

MAX_OTHER_RECIPIENTS = 12
"""Largest number of VMs that are sent heartbeats although they do not serve.

More would delay the heartbeats to the serving VMs; they ask for a status instead.
"""

SILENT_PROBE_SECONDS = 1.0
"""Time between two heartbeats to a VM that is silent.

Without them, VMs that did not reach each other for a while would both wait for the other.
"""

MAX_SILENT_PROBES = 2
"""Most silent VMs that one heartbeat is sent to."""

MIN_CURRENT_VMS = 3
"""VMs with recent copies of the store from which on callers are not sent to those without."""

REPORTED_REACHING_VMS = 4
"""Most VMs to forward requests to that a status names; a VM that follows asks two others."""

STORE_CHECKERS = 2
"""Serving VMs that ask the store for changes all the time, so that the others need not."""

STORE_WATCHERS = 4
"""Serving VMs that watch the store; the others receive the changes from them."""


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another VM, from its heartbeats and the store's list.

    Parameters
    ----------
    vm
        Name, incarnation, addresses and location.
    last_heartbeat_at
        Monotonic seconds at which its last heartbeat arrived, -inf before the first.
    ready, leaving, store_reached, exchanging, requests_per_second, revisions
        Copied from its last heartbeat; until the first one, the VM counts as not ready.
    unreachable_services, accepts_forwarded
        Copied from its last heartbeat too.
    copies_complete_at
        Monotonic seconds as of which its copies of the store were complete, by its last heartbeat;
        -inf if that did not state it.
    listed
        Whether the VM is on the store's list.
    delisted_at
        Monotonic seconds at which it disappeared from the list, or its first heartbeat if unlisted.
    status_at
        Monotonic seconds at which it last sent a status, -inf before the first.
    expected_since
        Monotonic seconds since which heartbeats from it are expected, or None.
    unavailable_until
        Monotonic seconds until which another VM's status excludes it from serving.
    probed_at
        Monotonic seconds at which it was last sent a heartbeat while silent.
    """

    vm: heartbeat.VmInfo
    last_heartbeat_at: float = -math.inf
    ready: bool = False
    leaving: bool = False
    store_reached: bool = True
    exchanging: bool = False
    listed: bool = False
    delisted_at: float = -math.inf
    status_at: float = -math.inf
    expected_since: float | None = None
    unavailable_until: float = -math.inf
    probed_at: float = -math.inf
    requests_per_second: float = 0.0
    revisions: dict[str, store_revision.Revision] = dataclasses.field(default_factory=dict)
    unreachable_services: frozenset[str] = frozenset()
    accepts_forwarded: bool = False
    copies_complete_at: float = -math.inf

    def is_alive(self, now: float) -> bool:
        """Return whether its last heartbeat is recent."""
        return now - self.last_heartbeat_at < ALIVE_TIMEOUT_SECONDS

    def executes(self, service: str, now: float) -> bool:
        """Return whether requests for a service may be forwarded to the VM, by its heartbeats."""
        if not self.is_alive(now):
            return False
        if not self.ready or self.leaving or not self.accepts_forwarded:
            return False
        return service not in self.unreachable_services

    def may_serve(self, now: float) -> bool:
        """Return whether the VM can be selected to serve."""
        if self.is_alive(now):
            return not self.leaving
        if now < self.unavailable_until:
            return False
        if not self.listed and now - self.delisted_at > DELISTED_TTL_SECONDS:
            return False
        if self.expected_since is None:
            return True
        return now - self.expected_since < FIRST_HEARTBEAT_TIMEOUT_SECONDS


class PeerTable:
    """The other VMs, and this VM's place among them.

    Parameters
    ----------
    local
        This VM.
    """

    __slots__ = (
        "_local",
        "_peers",
        "_size",
        "_ranked",
        "_serving",
        "_serving_names",
        "_exchanging",
        "_status_at",
        "_served_at",
        "_is_cut_off",
        "_reaching",
        "_turn_due_at",
        "_lateness",
        "_late_until",
    )

    def __init__(self, local: heartbeat.VmInfo) -> None:
        self._local = local
        self._peers: dict[str, Peer] = {}
        self._size = serving_set.SetSize()
        self._ranked: list[heartbeat.VmInfo] | None = None
        self._serving: list[heartbeat.VmInfo] = []
        self._serving_names: frozenset[str] = frozenset()
        self._exchanging = False
        self._status_at = -math.inf
        self._served_at = -math.inf
        self._is_cut_off = False
        self._reaching: list[str] = []
        self._turn_due_at = math.inf
        self._lateness = 0.0
        self._late_until = -math.inf

    @property
    def local(self) -> heartbeat.VmInfo:
        """This VM."""
        return self._local

    @property
    def by_name(self) -> dict[str, Peer]:
        """The other VMs by name."""
        return self._peers

    @property
    def serving(self) -> list[heartbeat.VmInfo]:
        """VMs that are selected to serve, as of the last `update`."""
        return self._serving

    @property
    def is_serving(self) -> bool:
        """Whether this VM is selected to serve."""
        return self._local.name in self._serving_names

    @property
    def is_exchanging(self) -> bool:
        """Whether this VM exchanges heartbeats, because it serves or is busy with requests."""
        return self._exchanging

    def update_listed(self, vms: list[heartbeat.VmInfo], now: float) -> None:
        """Update the table from the store's list of VMs."""
        listed = {vm.name: vm for vm in vms if vm.name != self._local.name}
        for name, vm in listed.items():
            peer = self._peers.get(name)
            if peer is None or (peer.vm.life != vm.life and not self._is_alive(peer, now)):
                self._peers[name] = Peer(vm)
        for name, peer in self._peers.items():
            if peer.listed and name not in listed:
                peer.delisted_at = now
            peer.listed = name in listed
        self._ranked = None

    def receive(self, message: heartbeat.Heartbeat, now: float) -> Peer | None:
        """Process a heartbeat; return the sender if it is new, restarted, or was not alive."""
        vm = message.vm
        if vm.name == self._local.name:
            return None
        peer = self._peers.get(vm.name)
        is_new = peer is None or peer.vm.life != vm.life or not self._is_alive(peer, now)
        if peer is None:
            peer = self._peers[vm.name] = Peer(vm, delisted_at=now)
        if peer.vm != vm or (is_new and not peer.listed):
            self._ranked = None
        peer.vm = vm
        peer.last_heartbeat_at = now
        peer.ready = message.ready
        peer.leaving = message.leaving
        peer.store_reached = message.store_reached
        peer.exchanging = message.exchanging
        peer.requests_per_second = message.requests_per_second
        peer.unreachable_services = frozenset(message.unreachable_services)
        peer.accepts_forwarded = message.accepts_forwarded
        peer.copies_complete_at = _complete_at(message.copies_age_seconds, now)
        # A heartbeat carries only the revisions that changed lately.
        peer.revisions.update({item.prefix: item.revision for item in message.revisions})
        return peer if is_new else None

    def update(self, leaving: bool, has_requests: bool, own_rate: float, now: float) -> None:
        """Select the serving VMs.

        Parameters
        ----------
        leaving
            Whether this VM is shutting down.
        has_requests
            Whether this VM has, or recently had, requests of callers.
        own_rate
            Requests per second at this VM.
        """
        ranked = self._ranking()
        if self._exchanging:
            rate = own_rate + sum(peer.requests_per_second for peer in self.alive(now))
            self._size.update(ranked, rate, now)
        self._select(leaving, now)
        if self.is_serving and own_rate > 0.0:
            self._served_at = now
        exchanging = self.is_serving or has_requests or now - self._served_at < SERVED_HOLD_SECONDS
        if exchanging != self._exchanging:
            for peer in self._peers.values():
                peer.expected_since = None
        if not exchanging and (self._exchanging or math.isinf(self._status_at)):
            # The status that a VM needs now may take a moment to arrive.
            self._status_at = now
        self._exchanging = exchanging
        if exchanging:
            for vm in self._serving:
                selected = self._peers.get(vm.name)
                if selected is not None and selected.expected_since is None:
                    selected.expected_since = now

    def begin_turn(self, now: float) -> None:
        """Record that this VM does its periodic work, which was due as `expect_turn` says.

        If it is late, so is whatever the other VMs have sent: their messages lie unread, which is
        not taken for silence until there was time to read them.
        """
        lateness = self._seconds_late(now)
        if lateness:
            self._lateness = lateness
            self._late_until = now + READ_SECONDS
        self._turn_due_at = math.inf

    def expect_turn(self, due_at: float) -> None:
        """Record when the periodic work is due next."""
        self._turn_due_at = due_at

    def _seconds_late(self, now: float) -> float:
        late = now - self._turn_due_at
        return late if late > MIN_LATE_SECONDS else 0.0

    def _read_until(self, now: float) -> float:
        """Return until when this VM has read what the other VMs sent."""
        kept = self._lateness if now < self._late_until else 0.0
        return now - max(kept, self._seconds_late(now))

    def _is_alive(self, peer: Peer, now: float) -> bool:
        return peer.is_alive(self._read_until(now))

    def _may_serve(self, peer: Peer, now: float) -> bool:
        return peer.may_serve(self._read_until(now))

    def status(self) -> tuple[int, list[str]]:
        """Return the number of VMs that are to serve, and the names that the selection skipped."""
        skipped: list[str] = []
        passed = 0
        for vm in self._ranking():
            if passed == len(self._serving_names):
                break
            if vm.name in self._serving_names:
                passed += 1
            else:
                skipped.append(vm.name)
        return self._size.value, skipped

    def receive_status(self, sender: str, message: heartbeat.FleetStatus, now: float) -> None:
        """Process the status that a serving VM sent to this VM.

        A VM that serves knows from heartbeats how many are to serve and which are silent.
        """
        self._status_at = now
        peer = self._peers.get(sender)
        if peer is not None:
            peer.status_at = now
            peer.revisions.update({item.prefix: item.revision for item in message.revisions})
        self._reaching = message.reaching_vms
        if self.is_serving:
            return
        if not self._exchanging:
            self._size.adopt(message.serving_vms)
        for name in message.unavailable:
            skipped = self._peers.get(name)
            if skipped is not None:
                skipped.unavailable_until = now + STATUS_TTL_SECONDS

    def has_status(self, now: float) -> bool:
        """Return whether this VM has a recent status of the fleet from another VM."""
        return now - self._status_at < STATUS_TIMEOUT_SECONDS

    def sponsors(self, now: float) -> list[heartbeat.VmInfo]:
        """Return the serving VMs to ask for a status, the preferred ones first.

        Those of this VM's failure domain come first, in an order that differs between VMs.
        """
        key = self._local.name.encode()
        candidates = [vm for vm in self._serving if vm.name != self._local.name]
        return sorted(
            candidates,
            key=lambda vm: (
                vm.failure_domain != self._local.failure_domain,
                -rendezvous.weight(key, vm.name),
            ),
        )

    def may_answer(self, name: str, now: float) -> bool:
        """Return whether another VM is likely to answer a call.

        A VM that follows receives no heartbeats and relies on the statuses of serving VMs.
        """
        peer = self._peers.get(name)
        if peer is None:
            return False
        return self._is_alive(peer, now) if self._exchanging else now >= peer.unavailable_until

    def recipients(self, now: float) -> list[str]:
        """Return the peer addresses to send heartbeats to.

        A VM that follows only answers the exchanging VMs, which select it. They would not stop
        sending if VMs that follow answered each other.
        """
        others = [
            peer.vm
            for peer in self.alive(now)
            if peer.exchanging and peer.vm.name not in self._serving_names
        ]
        others.sort(key=lambda vm: vm.name)
        recipients = {vm.name: vm.peer_address for vm in others[:MAX_OTHER_RECIPIENTS]}
        for vm in self._serving:
            peer = self._peers.get(vm.name)
            answers = peer is not None and self._is_alive(peer, now) and peer.exchanging
            if self._exchanging or answers:
                recipients[vm.name] = vm.peer_address
        recipients.pop(self._local.name, None)
        return [address for _, address in sorted(recipients.items())]

    def silent_to_probe(self, now: float) -> list[str]:
        """Return the peer addresses of silent VMs that are due for a heartbeat.

        Only those that rank high enough to serve, as they would exchange heartbeats with this VM.
        """
        if not self._exchanging:
            return []
        _, skipped = self.status()
        due = [
            self._peers[name]
            for name in skipped
            if name in self._peers
            and not self._is_alive(self._peers[name], now)
            and now - self._peers[name].probed_at >= SILENT_PROBE_SECONDS
        ]
        due.sort(key=lambda peer: peer.probed_at)
        for peer in due[:MAX_SILENT_PROBES]:
            peer.probed_at = now
        return [peer.vm.peer_address for peer in due[:MAX_SILENT_PROBES]]

    def should_watch_store(self, now: float) -> bool:
        """Return whether this VM has to watch the store because too few others do.

        The first serving VMs that reach the store watch it. A VM that neither exchanges heartbeats
        with serving VMs nor has a recent status watches it too.
        """
        if not self.is_serving:
            in_touch = self._exchanging and any(peer.exchanging for peer in self.alive(now))
            return not in_touch and not self.has_status(now)
        return self._local.name in (vm.name for vm in self._first_at_store(STORE_WATCHERS, now))

    def should_check_store(self, now: float) -> bool:
        """Return whether other VMs rely on this one to ask the store for changes all the time."""
        return any(vm.name == self._local.name for vm in self.store_checkers(now))

    def store_checkers(self, now: float) -> list[heartbeat.VmInfo]:
        """Return the VMs that ask the store for changes all the time."""
        return self._first_at_store(STORE_CHECKERS, now)

    def with_recent_copies(self, now: float) -> list[heartbeat.VmInfo]:
        """Return the serving VMs that state how recent their copies are, the best first."""
        stating = [
            peer
            for peer in self.alive(now)
            if peer.vm.name in self._serving_names and not math.isinf(peer.copies_complete_at)
        ]
        stating.sort(key=lambda peer: -peer.copies_complete_at)
        return [peer.vm for peer in stating]

    def _first_at_store(self, count: int, now: float) -> list[heartbeat.VmInfo]:
        """Return the first serving VMs that reach the store, among them perhaps this one."""
        first: list[heartbeat.VmInfo] = []
        for vm in self._serving:
            if len(first) == count:
                break
            if vm.name == self._local.name or self._may_reach_store(vm.name, now):
                first.append(vm)
        return first

    def _may_reach_store(self, name: str, now: float) -> bool:
        peer = self._peers.get(name)
        if peer is None:
            return False
        return peer.store_reached if self._is_alive(peer, now) else self._may_serve(peer, now)

    def remove_silent(self, now: float) -> list[str]:
        """Remove VMs that are silent and not on the store's list; return their names."""
        silent = [
            name
            for name, peer in self._peers.items()
            if not peer.listed
            and now - max(peer.last_heartbeat_at, peer.delisted_at) > REMOVE_AFTER_SECONDS
        ]
        for name in silent:
            del self._peers[name]
            self._ranked = None
        return silent

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs whose last heartbeat is recent enough."""
        read_until = self._read_until(now)
        return [peer for peer in self._peers.values() if peer.is_alive(read_until)]

    def reachable_fraction(self, now: float) -> float:
        """Return the fraction of the VMs that should serve whose heartbeats arrive.

        A VM whose first heartbeat is still awaited counts as reached. A VM that follows knows
        nothing of the others' admissions and may use an equal share of what the fleet may.
        """
        if not self._exchanging:
            return 1.0 / (len(self._peers) + 1)
        expected, reached = 1, 1
        for vm in self._ranking():
            peer = self._peers.get(vm.name)
            if peer is None or not (peer.listed or self._is_alive(peer, now)):
                continue
            if expected == self._size.value:
                break
            expected += 1
            awaited = math.isinf(peer.last_heartbeat_at) and self._may_serve(peer, now)
            reached += self._is_alive(peer, now) or awaited
        return reached / expected

    @property
    def all_settle_versions(self) -> bool:
        """Whether each other VM, or its last incarnation, states that it settles versions."""
        return all(peer.vm.settles_versions for peer in self._peers.values())

    def reaches_most(self, now: float) -> bool:
        """Return whether this VM reaches most VMs that should serve, or is the only one.

        A VM that follows reaches one of them, which has a recent status for it.
        """
        if not self._peers:
            return True
        if not self._exchanging:
            return self.has_status(now)
        return self.reachable_fraction(now) > 0.5

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Record whether this VM is cut off from the upstreams of a service."""
        self._is_cut_off = is_cut_off

    def executing(self, service: str, now: float) -> list[Peer]:
        """Return the VMs that requests for a service may be forwarded to.

        Serving ones if there are any, as the others have few connections and know few caches.
        """
        if not self._exchanging or not self.alive(now):
            return self._named_by_status(now)
        suitable = [peer for peer in self._peers.values() if peer.executes(service, now)]
        serving = [peer for peer in suitable if peer.vm.name in self._serving_names]
        return serving or suitable

    def _named_by_status(self, now: float) -> list[Peer]:
        """Return the VMs that the latest status names, for a VM that hears no heartbeats."""
        if not self.has_status(now):
            return []
        return [self._peers[name] for name in self._reaching if name in self._peers]

    def reaching_vms(self, now: float) -> list[str]:
        """Return some serving VMs for requests of VMs that follow; other VMs return others."""
        reaching = [
            peer.vm.name
            for peer in self.alive(now)
            if peer.vm.name in self._serving_names
            and peer.ready
            and not peer.leaving
            and peer.accepts_forwarded
            and not peer.unreachable_services
        ]
        return rendezvous.rank(self._local.name.encode(), reaching)[:REPORTED_REACHING_VMS]

    def caller_addresses(
        self,
        self_ready: bool,
        now: float,
        limit: int,
        domain: str | None = None,
        left_out: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Return at most `limit` addresses of VMs for callers, this VM's first if it serves.

        Those that are cut off from the upstreams of a service come last.

        Parameters
        ----------
        domain
            Failure domain of the caller, empty if unknown; None for the addresses of all of them.
        left_out
            Names of VMs that callers are not sent to.
        """
        vms: list[heartbeat.VmInfo] = []
        cut_off: list[heartbeat.VmInfo] = []
        if self_ready and (self.is_serving or not self._serving):
            (cut_off if self._is_cut_off else vms).append(self._local)
        for vm in self._serving:
            peer = self._peers.get(vm.name)
            if peer is None:
                continue
            if self._exchanging and not (self._is_alive(peer, now) and peer.ready):
                continue
            (cut_off if peer.unreachable_services else vms).append(vm)
        vms = [vm for vm in vms if vm.name not in left_out]
        if domain is not None:
            vms = caller_shares.named_to(domain, vms)
        return [vm.caller_address for vm in [*vms, *cut_off][:limit]]

    def behind_vms(self, own_age: float, bound_seconds: float, now: float) -> frozenset[str]:
        """Return the serving VMs whose copies of the store are too old to decide by.

        They refuse whatever callers send them, whose bytes keep their links full. While fewer than
        `MIN_CURRENT_VMS` have recent copies, there are none: where else should callers go.

        Parameters
        ----------
        own_age
            Age of this VM's copies, in seconds.
        bound_seconds
            Age up to which copies are used.
        """
        ages = {self._local.name: own_age} if self.is_serving else {}
        for vm in self._serving:
            peer = self._peers.get(vm.name)
            if peer is not None and not math.isinf(peer.copies_complete_at):
                ages[vm.name] = now - peer.copies_complete_at
        behind = frozenset(name for name, age in ages.items() if age > bound_seconds)
        return behind if len(ages) - len(behind) >= MIN_CURRENT_VMS else frozenset()

    def peer_ahead(self, prefix: str, revision: store_revision.Revision, now: float) -> Peer | None:
        """Return a VM that has a revision of `prefix` above `revision`, or None.

        A revision of unknown era counts as one of the same era.

        It is one whose heartbeats or statuses arrive, with the highest revision. Among several, one
        of this VM's failure domain is preferred.
        """

        def known(peer: Peer) -> store_revision.Revision:
            return peer.revisions.get(prefix, store_revision.NONE).resolved(revision.era)

        candidates = [
            peer
            for peer in self._peers.values()
            if (
                now - peer.last_heartbeat_at < ALIVE_TIMEOUT_SECONDS
                or now - peer.status_at < ALIVE_TIMEOUT_SECONDS
            )
            and known(peer) > revision
        ]
        return max(
            candidates,
            key=lambda peer: (
                known(peer),
                peer.vm.failure_domain == self._local.failure_domain,
                rendezvous.weight(self._local.name.encode(), peer.vm.name),
            ),
            default=None,
        )

    def _ranking(self) -> list[heartbeat.VmInfo]:
        if self._ranked is None:
            self._ranked = serving_set.rank_vms(
                [self._local, *(peer.vm for peer in self._peers.values())]
            )
        return self._ranked

    def _select(self, leaving: bool, now: float) -> None:
        def is_available(vm: heartbeat.VmInfo) -> bool:
            peer = self._peers.get(vm.name)
            return not leaving if peer is None else self._may_serve(peer, now)

        self._serving = serving_set.select(self._ranking(), is_available, self._size.value)
        self._serving_names = frozenset(vm.name for vm in self._serving)


def _complete_at(age_seconds: float, now: float) -> float:
    """Return as of when copies were complete whose age a message states, -inf if it does not."""
    return now - age_seconds if age_seconds >= 0.0 else -math.inf
