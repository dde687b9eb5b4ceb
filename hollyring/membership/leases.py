"""Lease client: exclusive rights through the platform's lease service, with fencing tokens.

The holder counts the lease's time to live from the moment at which it sent the call that granted
or renewed the lease, which is never later than the service counts from. Clocks are monotonic, so
steps of the wall clock have no effect.
"""

from __future__ import annotations

import dataclasses
import enum

from hollyring.core import identities
from hollyring.membership import unleased_keys

CLOCK_DRIFT_RATIO = 0.02
"""Fraction of the time to live by which the clocks of holder and service may drift apart."""

EXPIRY_MARGIN_SECONDS = 0.25
"""Safety margin before expiry in which the holder no longer acts."""

RENEWAL_FRACTION = 1.0 / 3.0
"""Fraction of the time to live after which a lease is renewed."""

INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0
"""Longest retry delay, which is also at most a sixth of the time to live."""


class Phase(enum.Enum):
    """State of the lease client.

    An acquisition starts in `IDLE` and passes through `READING`, which checks that no other owner
    has the key, `GRANTING` and `WRITING` to `HELD`. `CONFIRMING` reads the key back after an
    unanswered write. `CLOSED` is final.
    """

    IDLE = enum.auto()
    READING = enum.auto()
    GRANTING = enum.auto()
    WRITING = enum.auto()
    CONFIRMING = enum.auto()
    HELD = enum.auto()
    CLOSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHolder:
    """Read the key; outcomes `HolderRead` and `Failed`, with the same `call` as this action."""

    call: int
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Request a lease of `ttl` seconds; outcomes `LeaseGranted` and `Failed`."""

    call: int
    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHolder:
    """Compare-and-swap the key under a lease; outcomes `HolderWritten`, `Refused`, `Failed`.

    `version` is the expected version of the key, 0 if it must be absent.
    """

    call: int
    key: str
    value: bytes
    version: int
    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a lease and read its key; outcomes `LeaseRenewed`, `Refused`, `Failed`.

    It is refused if the lease has expired, or if the key's version is not `version` any more.
    """

    call: int
    lease: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Release a lease; no outcome is reported back."""

    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """The lease is held, with this fencing token for the operations under it."""

    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The lease is no longer held."""

    fencing: int


Action = ReadHolder | GrantLease | WriteHolder | RenewLease | ReleaseLease | Acquired | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class HolderRead:
    """Value and version of the key; version 0 if the key is absent.

    Parameters
    ----------
    unleased
        Whether no lease removes the key, which another writer has put then.
    """

    call: int
    value: bytes
    version: int
    unleased: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The service granted the lease."""

    call: int
    lease: str


@dataclasses.dataclass(frozen=True, slots=True)
class HolderWritten:
    """The compare-and-swap succeeded; `version` is the new version, used as the fencing token."""

    call: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The lease was renewed, and its key had its version after the call was sent."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The service refused the call: the key was changed by another VM or the lease has expired."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call was not answered; it may still have taken effect."""

    call: int


Event = HolderRead | LeaseGranted | HolderWritten | LeaseRenewed | Refused | Failed


class LeaseClient:
    """State machine that acquires and renews the lease on one exclusive right.

    Parameters
    ----------
    key
        Key in the platform's lease service that names the holder of the right.
    owner
        This incarnation of this VM.
    ttl
        Time to live of the lease without renewal, in seconds.

    Examples
    --------
    >>> lease = LeaseClient("leases/orders", identities.Incarnation("vm-1", 1), ttl=10.0)
    >>> lease.tick(now=0.0)
    [ReadHolder(call=1, key='leases/orders')]
    >>> lease.handle(HolderRead(1, b"", 0), now=0.0)
    [GrantLease(call=2, ttl=10.0)]
    >>> write, = lease.handle(LeaseGranted(2, "L1"), now=0.1)
    >>> lease.handle(HolderWritten(write.call, 41), now=0.2)
    [Acquired(fencing=41)]
    >>> lease.fencing(now=5.0), lease.fencing(now=9.9)
    (41, None)
    """

    __slots__ = (
        "_key",
        "_owner",
        "_ttl",
        "_phase",
        "_last_call",
        "_pending_call",
        "_lease",
        "_acquire_sent_at",
        "_renew_sent_at",
        "_expires_at",
        "_fencing",
        "_due_at",
        "_failures",
        "_read_version",
        "_unleased",
    )

    def __init__(self, key: str, owner: identities.Incarnation, ttl: float) -> None:
        self._key = key
        self._owner = str(owner).encode()
        self._ttl = ttl
        self._phase = Phase.IDLE
        self._last_call = 0
        self._pending_call = 0
        self._lease = ""
        self._acquire_sent_at = 0.0
        self._renew_sent_at = 0.0
        self._expires_at = 0.0
        self._fencing = 0
        self._due_at = 0.0
        self._failures = 0
        self._read_version = 0
        self._unleased = unleased_keys.UnleasedKey(ttl * (1.0 + CLOCK_DRIFT_RATIO))

    @property
    def due(self) -> float | None:
        """Monotonic time at which `tick` has work to do next, or None."""
        if self._phase is Phase.HELD:
            return self._expires_at if self._pending_call else min(self._due_at, self._expires_at)
        return self._due_at if self._phase is Phase.IDLE else None

    @property
    def phase(self) -> Phase:
        """Current state, for the state dump."""
        return self._phase

    def fencing(self, now: float, needed_seconds: float = 0.0) -> int | None:
        """Return the fencing token if an operation of `needed_seconds` may begin now, else None.

        Called before each operation, so that a holder whose process was paused past the expiry
        of its lease does not act.
        """
        if self._phase is not Phase.HELD or now + needed_seconds >= self._expires_at:
            return None
        return self._fencing

    def remaining(self, now: float) -> float:
        """Return the seconds for which the holder may still act; 0 if it may not."""
        return max(0.0, self._expires_at - now) if self._phase is Phase.HELD else 0.0

    def tick(self, now: float) -> list[Action]:
        """Start the acquisition or renewal that is due, or give up an expired lease."""
        if self._phase is Phase.HELD and now >= self._expires_at:
            return self._lose(now)
        if now < self._due_at or self._pending_call:
            return []
        if self._phase is Phase.IDLE:
            self._phase = Phase.READING
            return [ReadHolder(self._next_call(), self._key)]
        if self._phase is Phase.HELD:
            self._renew_sent_at = now
            return [RenewLease(self._next_call(), self._lease, self._key, self._fencing)]
        return []

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process the outcome of a call; outcomes of abandoned calls are ignored."""
        if event.call != self._pending_call or self._phase is Phase.CLOSED:
            return []
        self._pending_call = 0
        if self._phase is Phase.HELD and now >= self._expires_at:
            return self._lose(now)
        match event, self._phase:
            case HolderRead(), Phase.READING:
                return self._handle_holder(event, now)
            case HolderRead(), Phase.CONFIRMING:
                return self._handle_read_back(event, now)
            case LeaseGranted(), Phase.GRANTING:
                self._lease = event.lease
                return self._write_holder()
            case HolderWritten(), Phase.WRITING:
                return self._acquire(event.version, now)
            case Failed(), Phase.WRITING:
                return self._read_back()
            case Refused(), Phase.WRITING:
                return self._release(now)
            case Failed(), Phase.CONFIRMING:
                return self._retry_read_back(now)
            case LeaseRenewed(), Phase.HELD:
                self._extend(self._renew_sent_at)
                return []
            case Failed(), Phase.HELD:
                self._back_off(now)
                return []
            case Refused(), Phase.HELD:
                return self._lose_key(now)
        # Any other outcome ends the acquisition, which starts again after a delay.
        self._phase = Phase.IDLE
        self._back_off(now)
        return []

    def forget(self, now: float) -> list[Action]:
        """Give up the lease or its acquisition at once, as the service no longer knows either.

        The lease is not released, as its ID may be that of another one by now.
        """
        if self._phase is Phase.CLOSED:
            return []
        held = self._phase is Phase.HELD
        self._phase = Phase.IDLE
        self._pending_call = 0
        self._lease = ""
        self._failures = 0
        self._due_at = now
        return [Lost(self._fencing)] if held else []

    def release(self, now: float) -> list[Action]:
        """Release the lease, which may be acquired again later.

        To be called after the last operation under it has ended.
        """
        if self._phase is not Phase.HELD:
            return []
        self._pending_call = 0
        return self._lose(now)

    def close(self) -> list[Action]:
        """Release the lease for good; to be called after the last operation under it has ended."""
        held = self._phase is Phase.HELD
        self._phase = Phase.CLOSED
        self._pending_call = 0
        actions: list[Action] = [ReleaseLease(self._lease)] if self._lease else []
        return [*actions, Lost(self._fencing)] if held else actions

    def _handle_holder(self, event: HolderRead, now: float) -> list[Action]:
        """Request a lease if the key is free, else check again after half the time to live.

        A key that an earlier acquisition of this owner left behind is written over, and so is one
        without a lease, once whoever held the lease before it has certainly seen it.
        """
        if event.unleased:
            is_free = self._unleased.observe(event.version, now)
        else:
            is_free = event.version == 0 or event.value.startswith(self._owner + b"/")
        if not is_free:
            self._phase = Phase.IDLE
            self._due_at = now + self._ttl / 2
            return []
        self._read_version = event.version
        self._phase = Phase.GRANTING
        self._acquire_sent_at = now
        return [GrantLease(self._next_call(), self._ttl)]

    def _write_holder(self) -> list[Action]:
        self._phase = Phase.WRITING
        call = self._next_call()
        return [WriteHolder(call, self._key, self._holder_value(), self._read_version, self._lease)]

    def _holder_value(self) -> bytes:
        """Return the key's value, which is unique to this acquisition."""
        return self._owner + b"/" + self._lease.encode()

    def _read_back(self) -> list[Action]:
        self._phase = Phase.CONFIRMING
        return [ReadHolder(self._next_call(), self._key)]

    def _handle_read_back(self, event: HolderRead, now: float) -> list[Action]:
        """Decide from the key's content whether an unanswered write took effect."""
        if event.value == self._holder_value() and event.version:
            return self._acquire(event.version, now)
        return self._release(now)

    def _retry_read_back(self, now: float) -> list[Action]:
        if now >= self._expiry(self._acquire_sent_at):
            return self._release(now)
        return self._read_back()

    def _acquire(self, version: int, now: float) -> list[Action]:
        self._fencing = version
        self._extend(self._acquire_sent_at)
        if now >= self._expires_at:
            return self._release(now)
        self._phase = Phase.HELD
        return [Acquired(version)]

    def _release(self, now: float) -> list[Action]:
        """Release the lease and back off.

        The service removes the key with its lease, even if the write takes effect late.
        """
        lease, self._lease = self._lease, ""
        self._phase = Phase.IDLE
        self._back_off(now)
        return [ReleaseLease(lease)] if lease else []

    def _lose(self, now: float) -> list[Action]:
        return [Lost(self._fencing), *self._release(now)]

    def _lose_key(self, now: float) -> list[Action]:
        """Give up a lease whose key is another one by now, and let it expire.

        As long as it has not, the next holder finds that this one may just have acted.
        """
        self._lease = ""
        return self._lose(now)

    def _extend(self, sent_at: float) -> None:
        self._failures = 0
        self._expires_at = self._expiry(sent_at)
        self._due_at = sent_at + self._ttl * RENEWAL_FRACTION

    def _expiry(self, sent_at: float) -> float:
        return sent_at + self._ttl * (1.0 - CLOCK_DRIFT_RATIO) - EXPIRY_MARGIN_SECONDS

    def _back_off(self, now: float) -> None:
        self._failures += 1
        delay = INITIAL_RETRY_SECONDS * 2 ** min(self._failures - 1, 10)
        self._due_at = now + min(MAX_RETRY_SECONDS, self._ttl / 6, delay)

    def _next_call(self) -> int:
        self._last_call += 1
        self._pending_call = self._last_call
        return self._last_call
