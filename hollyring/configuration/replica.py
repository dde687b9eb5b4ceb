"""A VM's replica of the configuration, updated from the store and by anti-entropy with peers."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence

from hollyring.configuration import (
    errors,
    gossip,
    loader,
    messages,
    revision_log,
    revisions,
    snapshot_transfer,
    snapshots,
    state,
)
from hollyring.core import invariants

SILENCE_TIMEOUT_SECONDS = 10.0
"""A VM that has received nothing from the store or a peer for this long admits no requests."""

TICK_SECONDS = 1.0
"""Interval at which `Replica.tick` must be called."""

QUIET_AFTER_SECONDS = 3.0
"""A VM that has received nothing from the store or a peer for this long contacts more peers."""

START_STORE_WAIT_SECONDS = 3.0
"""Time that a starting VM waits for the store before peers suffice to confirm its revision."""

PAUSE_THRESHOLD_SECONDS = 3.0
"""A longer gap between calls of `Replica` methods, such as `tick`, means the VM was paused."""

BACKLOG_SECONDS = 1.0
"""Time after a pause during which peers cannot confirm the revision.

Messages processed in this time may have arrived during the pause.
"""

NEWER_REVISION_TTL_SECONDS = 10.0
"""Time for which a peer's report of a newer revision prevents a VM from being caught up."""

FETCH_TIMEOUT_SECONDS = 1.0
"""Time after which a fetch without an answer is abandoned."""

MAX_DELTAS_BYTES = 64_000
"""Maximum total size of the values in one `Deltas` message; a single larger value is sent."""


class Admission(enum.StrEnum):
    """Whether requests may be admitted: `ADMITS`, or the reason why not."""

    ADMITS = "admits"
    NOT_CONFIGURED = "not_configured"
    CATCHING_UP = "catching_up"
    SILENT = "silent"


class Alarm(enum.StrEnum):
    """Condition that is reported to operators."""

    DIVERGED = "diverged"
    UNUSABLE = "unusable_revision"
    STORE_OLDER = "store_older"


@dataclasses.dataclass(slots=True)
class _Fetch:
    peer: str
    sent_at: float
    target_revision: int


class Replica:
    """Configuration replica of one VM incarnation; its revision only increases.

    Times are in seconds of a monotonic clock.

    Parameters
    ----------
    counters
        Counts the checks and violations of invariants.
    now
        Start time.

    Notes
    -----
    A revision is applied only if it is the direct successor of the current one: its stored value
    contains the digest of its predecessor's stored value, and the content hash of the resulting
    configuration. A snapshot is applied only if its revision is higher than the current one and
    its content hash matches its revision's.
    """

    __slots__ = (
        "_invariants",
        "_configuration",
        "_log",
        "_started_at",
        "_store_contact_at",
        "_peer_contact_at",
        "_store_answered",
        "_last_activity_at",
        "_resumed_at",
        "_caught_up",
        "_alarms",
        "_counts",
        "_gossip",
        "_newest_peer_revision",
        "_newest_peer_revision_at",
        "_fetch",
        "_snapshot_receiver",
        "_snapshot_sender",
    )

    def __init__(self, counters: invariants.Invariants, now: float) -> None:
        self._invariants = counters
        self._configuration = state.Configuration()
        self._log = revision_log.RevisionLog()
        self._started_at = now
        self._store_contact_at = now
        self._peer_contact_at = now
        self._store_answered = False
        self._last_activity_at = now
        self._resumed_at = now - BACKLOG_SECONDS
        self._caught_up = False
        self._alarms: dict[Alarm, str] = {}
        self._counts = {
            "from_store": 0,
            "from_peers": 0,
            "snapshots": 0,
            "silences": 0,
            "pauses": 0,
        }
        self._gossip = gossip.Gossip(now)
        self._newest_peer_revision = 0
        self._newest_peer_revision_at = now
        self._fetch: _Fetch | None = None
        self._snapshot_receiver = snapshot_transfer.SnapshotReceiver()
        self._snapshot_sender = snapshot_transfer.SnapshotSender()

    @property
    def configuration(self) -> state.Configuration:
        """Current configuration; immutable."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Number of the current revision, 0 before the first."""
        return self._configuration.revision

    @property
    def caught_up(self) -> bool:
        """Whether the store or a peer confirmed the revision after the last pause or silence."""
        return self._caught_up

    @property
    def alarms(self) -> dict[Alarm, str]:
        """Active alarms and their details."""
        return dict(self._alarms)

    def admission(self, now: float) -> Admission:
        """Return `Admission.ADMITS` if requests may be admitted now, or the reason why not."""
        self._detect_interruptions(now)
        if now - self._last_contact_at > SILENCE_TIMEOUT_SECONDS:
            return Admission.SILENT
        if self.revision == 0:
            return Admission.NOT_CONFIGURED
        return Admission.ADMITS if self._caught_up else Admission.CATCHING_UP

    def dump(self, now: float) -> dict[str, object]:
        """Return the status for operators, without key digests."""
        return {
            "revision": self.revision,
            "digest": self._configuration.digest,
            "admission": str(self.admission(now)),
            "alarms": {str(alarm): detail for alarm, detail in self._alarms.items()},
            "seconds_since_store": round(now - self._store_contact_at, 3),
            "seconds_since_peer": round(now - self._peer_contact_at, 3),
            "organisations": len(self._configuration.organisations),
            "oldest_retained": self._log.oldest_revision,
            **self._counts,
            "snapshots_sent": self._snapshot_sender.sent_count,
        }

    def stored_value(self, revision: int) -> bytes | None:
        """Return the stored value of a revision, or None if it is not in the log."""
        return self._log.get(revision)

    def on_value(self, value: bytes, now: float) -> list[messages.Send]:
        """Apply the value of the next revision, read from the store; return messages to peers."""
        self.on_store_answered(now)
        before = self.revision
        self._apply(value)
        self._counts["from_store"] += self.revision - before
        return self._push_digest(now) if self.revision > before else []

    def on_loaded(self, loaded: loader.LoadResult, requested_at: float, now: float) -> None:
        """Apply a configuration loaded from the store; the last call began at `requested_at`."""
        self.on_store_answered(now)
        if loaded.configuration.revision > self.revision:
            self._replace_configuration(loaded.configuration, loaded.log)
        self.on_store_current(loaded.configuration.revision, requested_at, now)
        if loaded.error:
            self.raise_alarm(Alarm.UNUSABLE, loaded.error)

    def on_store_current(self, revision: int, requested_at: float, now: float) -> None:
        """Process a store answer that `revision` is the latest, requested at `requested_at`."""
        self.on_store_answered(now)
        if revision == self.revision > 0 and requested_at >= self._resumed_at:
            self._caught_up = True

    def on_store_answered(self, now: float) -> None:
        """Record that the store answered a call."""
        self._detect_interruptions(now)
        self._store_contact_at = now
        self._store_answered = True

    def raise_alarm(self, alarm: Alarm, detail: str) -> None:
        """Set an alarm, which stays active until `clear_alarm`."""
        self._alarms[alarm] = detail

    def clear_alarm(self, alarm: Alarm) -> None:
        """Clear an alarm if it is active."""
        self._alarms.pop(alarm, None)

    def on_message(self, sender: str, message: messages.Message, now: float) -> list[messages.Send]:
        """Process a peer's message; return messages to send."""
        self._detect_interruptions(now)
        self._peer_contact_at = now
        self._gossip.record_sender(sender)
        match message:
            case messages.Digest():
                return self._on_digest(sender, message, now)
            case messages.Fetch(after):
                return self._on_fetch(sender, after, now)
            case messages.Deltas():
                return self._on_deltas(sender, message, now)
            case messages.Segment():
                return self._on_segment(sender, message, now)

    def tick(self, now: float, peers: Sequence[str], seed: int) -> list[messages.Send]:
        """Run periodic work; return messages to send.

        Parameters
        ----------
        now
            Current time.
        peers
            Names of the other live VMs.
        seed
            Random 64-bit integer, different at each call.
        """
        self._detect_interruptions(now)
        self._gossip.update_peers(peers, seed)
        if self._fetch and now - self._fetch.sent_at > FETCH_TIMEOUT_SECONDS:
            self._gossip.discard_revision(self._fetch.peer)
            self._fetch = None
        self._snapshot_sender.evict_expired(now)
        sends = [] if self.revision else self._fetch_from_best_peer(now)
        quiet = now - self._last_contact_at >= QUIET_AFTER_SECONDS
        chosen = self._gossip.digest_peers(self.revision == 0, quiet)
        return sends + [
            messages.Send(peer, self._make_digest(reply_requested=True)) for peer in chosen
        ]

    @property
    def _last_contact_at(self) -> float:
        return max(self._store_contact_at, self._peer_contact_at)

    def _detect_interruptions(self, now: float) -> None:
        if now - self._last_activity_at > PAUSE_THRESHOLD_SECONDS:
            self._resumed_at = now
            self._counts["pauses"] += 1
            self._caught_up = False
        self._last_activity_at = now
        if now - self._last_contact_at > SILENCE_TIMEOUT_SECONDS and self._caught_up:
            self._caught_up = False
            self._counts["silences"] += 1

    def _on_peer_current(self, now: float) -> None:
        # A starting VM waits for the store first: peers may not have the store's latest revision.
        store_wait_over = self._store_answered or now - self._started_at >= START_STORE_WAIT_SECONDS
        newer = (
            self._newest_peer_revision > self.revision
            and now - self._newest_peer_revision_at < NEWER_REVISION_TTL_SECONDS
        )
        backlog_processed = now - self._resumed_at >= BACKLOG_SECONDS
        if store_wait_over and backlog_processed and not newer:
            self._caught_up = True

    def _make_digest(self, reply_requested: bool) -> messages.Digest:
        return messages.Digest(self.revision, self._configuration.digest, reply_requested)

    def _push_digest(self, now: float) -> list[messages.Send]:
        digest = self._make_digest(reply_requested=False)
        return [messages.Send(peer, digest) for peer in self._gossip.push_peers(now)]

    def _on_digest(self, sender: str, message: messages.Digest, now: float) -> list[messages.Send]:
        sends = []
        if message.reply_requested:
            sends.append(messages.Send(sender, self._make_digest(reply_requested=False)))
        if (
            message.revision >= self._newest_peer_revision
            or now - self._newest_peer_revision_at >= NEWER_REVISION_TTL_SECONDS
        ):
            self._newest_peer_revision, self._newest_peer_revision_at = message.revision, now
        if message.revision == self.revision and message.digest != self._configuration.digest:
            self.raise_alarm(Alarm.DIVERGED, f"{sender} has a different revision {self.revision}")
            return sends
        if self.revision == 0:
            self._gossip.record_revision(sender, message.revision)
            return sends + self._fetch_from_best_peer(now)
        if message.revision > self.revision:
            return sends + self._fetch_from(sender, message.revision, now)
        self._on_peer_current(now)
        return sends

    def _fetch_from_best_peer(self, now: float) -> list[messages.Send]:
        best = self._gossip.best_peer(now)
        return [] if best is None else self._fetch_from(best.peer, best.revision, now)

    def _fetch_from(self, peer: str, target_revision: int, now: float) -> list[messages.Send]:
        if self._fetch and now - self._fetch.sent_at <= FETCH_TIMEOUT_SECONDS:
            return []
        self._fetch = _Fetch(peer, now, target_revision)
        return [messages.Send(peer, messages.Fetch(self.revision))]

    def _on_fetch(self, sender: str, after: int, now: float) -> list[messages.Send]:
        if after >= self.revision:
            return [messages.Send(sender, self._make_digest(reply_requested=False))]
        values = self._log.values_after(after, MAX_DELTAS_BYTES)
        if values is not None:
            return [messages.Send(sender, messages.Deltas(after, values))]
        segments = self._snapshot_sender.next_segments(
            self._configuration, self._log.newest_value, now
        )
        return [messages.Send(sender, segment) for segment in segments]

    def _on_deltas(self, sender: str, message: messages.Deltas, now: float) -> list[messages.Send]:
        before = self.revision
        # Skip values that are already applied, and all values if the first would leave a gap.
        for value in message.values[before - message.after :] if message.after <= before else []:
            if not self._apply(value):
                break
        self._counts["from_peers"] += self.revision - before
        return self._after_transfer(sender, before, now)

    def _on_segment(
        self, sender: str, message: messages.Segment, now: float
    ) -> list[messages.Send]:
        if message.revision <= self.revision:
            return []
        snapshot = self._snapshot_receiver.on_segment(sender, message)
        if snapshot is None:
            return []
        before = self.revision
        try:
            configuration = snapshots.restore(snapshot)
        except errors.UnusableRevisionError as error:
            self.raise_alarm(Alarm.UNUSABLE, f"from {sender}: {error}")
            return []
        if configuration.revision > before:
            log = revision_log.RevisionLog()
            log.reset(configuration.revision, message.revision_value)
            self._replace_configuration(configuration, log)
        return self._after_transfer(sender, before, now)

    def _after_transfer(self, sender: str, before: int, now: float) -> list[messages.Send]:
        if self.revision == before:
            return []
        fetch, self._fetch = self._fetch, None
        if fetch is None or self.revision >= fetch.target_revision:
            if fetch is not None:
                self._on_peer_current(now)
            return self._push_digest(now)
        return self._push_digest(now) + self._fetch_from(sender, fetch.target_revision, now)

    def _apply(self, value: bytes) -> bool:
        try:
            number = revisions.decode(value).revision
            if number <= self.revision:
                return self._matches_log(number, value)
            configuration = revisions.apply(self._configuration, value)
        except errors.DivergedError as error:
            self.raise_alarm(Alarm.DIVERGED, str(error))
            return False
        except errors.UnusableRevisionError as error:
            self.raise_alarm(Alarm.UNUSABLE, str(error))
            return False
        self._check_revision_increases(configuration)
        self._configuration = configuration
        self._log.append(value)
        self.clear_alarm(Alarm.UNUSABLE)
        return True

    def _matches_log(self, number: int, value: bytes) -> bool:
        logged = self._log.get(number)
        if logged is None or logged == value:
            return True
        self.raise_alarm(Alarm.DIVERGED, f"revision {number} differs from the one applied")
        return False

    def _replace_configuration(
        self, configuration: state.Configuration, log: revision_log.RevisionLog
    ) -> None:
        self._check_revision_increases(configuration)
        self._configuration, self._log = configuration, log
        self._counts["snapshots"] += 1

    def _check_revision_increases(self, configuration: state.Configuration) -> None:
        self._invariants.check(
            "configuration_goes_forward",
            configuration.revision > self.revision,
            f"revision {configuration.revision} after {self.revision}",
        )
