"""Places at an upstream that fails if it has to reject too many requests in a second.

The upstream says how many rejections it stands, but not how many requests may be with it at a time:
it runs as many as it has slots, and the number that may wait beside them can fall at any time,
unnoticed until it rejects. The VM that issues the permits of an upstream therefore counts the
places that are taken and grants one in either of two ways:

- below the *proven* number of places, with no risk that is known;
- above it as a *doubtful* place, which may lead to a rejection. The doubtful places whose outcome
  is unknown and the rejections of the last second stay together within what the upstream stands,
  less a margin.

So rejections stay within it even if reports of them arrive late or never. A doubtful place that is
accepted raises the proven number, up to a little more than the slots; a rejection below it
ends what is proven, and any rejection lowers the ceiling, which rises again slowly. As room can
fall between two rejections, the places granted in the last moment count as doubtful too.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import math

WINDOW_SECONDS = 1.0
"""Time over which an upstream counts its rejections."""

DOUBT_SECONDS = 1.5
"""Time after which a doubtful place can no longer lead to a rejection within the last second.

A permit is used within 0.5 s of the question, and a full upstream rejects at once.
"""

USED_SHARE = 0.7
"""Share of the rejections that an upstream stands which is used; the rest covers what is unseen."""

FRESH_SECONDS = 0.01
"""Time from granting a place within which the report of a rejection usually arrives."""

SETTLE_SECONDS = 0.1
"""Time after an unexpected rejection in which nothing is granted, as more may be on the way."""

START_SHARE = 0.5
"""Share of the slots that is taken as proven at the start, while other knowledge is old."""

PROVEN_SHARE = 1.25
"""Largest number of proven places as a share of the slots.

Some requests have to wait at the upstream while permits and reports travel, else slots stay empty.
"""

MIN_RISE_PER_SECOND = 1.0
"""Rise of the ceiling in places per second."""

RISE_SHARE = 0.125
"""Rise of the ceiling per second as a share of the slots, for upstreams that have many."""

LOADS_SECONDS = 0.5
"""Time after the start from which what VMs tell of their requests includes those with a place."""

UNKNOWN_SECONDS = 4.0
"""Time over which the requests that were in progress at the start are taken to end."""

MAX_PLACE_SECONDS = 15.0
"""Longest time for which a place counts as taken if its VM does not return it."""

FIRST_HOLD_SECONDS = 0.1
"""Time for which places are assumed to be held before any has been returned."""

HOLD_WEIGHT = 0.1
"""Weight of the latest place in the moving average of the time for which places are held."""

MAX_RETRY_SECONDS = 0.3
"""Longest time after which a VM that got no place is told to ask again."""

MIN_RETRY_SECONDS = 0.01

RETRY_SPACING = 0.25
"""Times between two VMs' turns to ask again, as a share of the time in which a place ends.

Some VMs have no request when their turn comes.
"""


class Outcome(enum.StrEnum):
    """What became of a request that took a place."""

    ACCEPTED = "accepted"  # its answer began, and it still holds the place
    ANSWERED = "answered"
    REJECTED = "rejected"  # for want of room
    UNKNOWN = "unknown"  # not sent, or given up


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What is known of the room at an upstream.

    Parameters
    ----------
    rejections_per_second
        Rejections in a second that it stands.
    slots
        Requests that it runs concurrently.
    in_progress
        Requests that all VMs have in progress there, as far as this VM knows.
    """

    rejections_per_second: float
    slots: float
    in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """A place; `doubtful` if the upstream may reject the request."""

    doubtful: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceDenied:
    """No place; there may be one in `retry_after` seconds."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    granted_at: float
    expires_at: float
    level: int


class Places:
    """Places of one incarnation of an upstream.

    Parameters
    ----------
    room
        What is known at the start.
    now
        Time of the start.

    Examples
    --------
    >>> room = Room(rejections_per_second=3.0, slots=2, in_progress=0)
    >>> places = Places(room, now=0.0)
    >>> places.take("a", room, seconds=1.0, now=2.0)
    PlaceGranted(doubtful=False)
    >>> places.take("b", room, seconds=1.0, now=2.0)
    PlaceGranted(doubtful=True)
    >>> places.end("b", Outcome.REJECTED, now=2.1)
    >>> places.take("c", room, seconds=1.0, now=2.1)
    PlaceDenied(retry_after=0.1)
    """

    __slots__ = (
        "_slots",
        "_proven",
        "_ceiling",
        "_held",
        "_doubts",
        "_rejected_at",
        "_unknown",
        "_started_at",
        "_settled_at",
        "_updated_at",
        "_hold_seconds",
        "_denied",
        "_interrupted",
    )

    def __init__(self, room: Room, now: float) -> None:
        self._slots = room.slots
        self._proven = _proven_at_start(room)
        self._ceiling = math.inf
        self._held: dict[str, _Place] = {}
        self._doubts: dict[str, float] = {}
        self._rejected_at: collections.deque[float] = collections.deque()
        self._unknown = room.in_progress
        self._started_at = now
        self._settled_at = now
        self._updated_at = now
        self._hold_seconds = FIRST_HOLD_SECONDS
        self._denied = 0.0
        self._interrupted = False

    @property
    def updated_at(self) -> float:
        """Time of the latest question or report."""
        return self._updated_at

    def taken(self, now: float) -> int:
        """Return the number of places that count as taken."""
        return len(self._held) + self._unknown_at(now)

    def take(
        self, place: str, room: Room, seconds: float, now: float
    ) -> PlaceGranted | PlaceDenied:
        """Grant a place for at most `seconds`, or deny it.

        Parameters
        ----------
        place
            Name that the VM which asks gave to the place.
        """
        self._advance(room.slots, now)
        if self._interrupted:
            self._resume(room, now)
        if now - self._started_at >= LOADS_SECONDS:
            self._unknown = min(self._unknown, max(0, room.in_progress - len(self._held)))
        stands = self._rejections_to_stand(room.rejections_per_second, now)
        if len(self._rejected_at) >= stands:
            return PlaceDenied(self._rejected_at[0] + WINDOW_SECONDS - now)
        if now < self._settled_at:
            return PlaceDenied(self._settled_at - now)
        if self._unresolved(now) >= stands:
            return PlaceDenied(FRESH_SECONDS)
        level = self.taken(now) + 1
        is_proven = level <= self._proven
        if not is_proven and not self._may_doubt(level, room, now):
            return self._deny(now)
        expires_at = now + min(MAX_PLACE_SECONDS, max(DOUBT_SECONDS, seconds))
        self._held[place] = _Place(now, expires_at, level)
        if not is_proven:
            self._doubts[place] = now
        return PlaceGranted(not is_proven)

    def end(self, place: str, outcome: Outcome, now: float) -> None:
        """Record what became of the request that took a place, perhaps one of another issuer."""
        self._advance(self._slots, now)
        match outcome:
            case Outcome.ACCEPTED:
                self._accept(place)
            case Outcome.ANSWERED:
                self._accept(place)
                self._release(place, now, answered=True)
            case Outcome.REJECTED:
                self._reject(place, now)
            case Outcome.UNKNOWN:
                # The upstream may still reject it, so its outcome stays unknown.
                self._release(place, now, answered=False)

    def interrupt(self) -> None:
        """Record that another VM grants places now, until this one is asked again."""
        self._interrupted = True

    def _resume(self, room: Room, now: float) -> None:
        """Start again with the places held and the rejections known, as others granted more."""
        self._interrupted = False
        self._started_at = now
        self._unknown = max(0, room.in_progress - len(self._held))
        self._proven = min(self._proven, _proven_at_start(room))

    def _advance(self, slots: float, now: float) -> None:
        """Forget what is over, and let the ceiling rise."""
        passed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._slots = slots
        self._proven = min(self._proven, self._most_proven())
        due = passed * max(1, self.taken(now)) / self._hold_seconds
        self._denied = max(0.0, self._denied - due)
        self._ceiling += passed * max(MIN_RISE_PER_SECOND, RISE_SHARE * slots)
        while self._rejected_at and now - self._rejected_at[0] >= WINDOW_SECONDS:
            self._rejected_at.popleft()
        for place in [p for p, at in self._doubts.items() if now - at >= DOUBT_SECONDS]:
            del self._doubts[place]
        for place in [p for p, held in self._held.items() if now >= held.expires_at]:
            del self._held[place]

    def _most_proven(self) -> float:
        return max(self._slots + 1.0, PROVEN_SHARE * self._slots)

    def _unknown_at(self, now: float) -> int:
        left = 1.0 - (now - self._started_at) / UNKNOWN_SECONDS
        return math.ceil(self._unknown * max(0.0, min(1.0, left)))

    def _rejections_to_stand(self, per_second: float, now: float) -> int:
        """Return the rejections to stand within a second; another issuer may have caused some."""
        is_new = now - self._started_at < WINDOW_SECONDS
        return max(1, math.floor(per_second / 2.0 if is_new else per_second))

    def _unresolved(self, now: float) -> int:
        """Return the rejections of the last second, and the places with a report on the way."""
        fresh = itertools.takewhile(
            lambda place: now - self._held[place].granted_at < FRESH_SECONDS, reversed(self._held)
        )
        return sum(1 for _ in fresh) + len(self._rejected_at)

    def _may_doubt(self, level: int, room: Room, now: float) -> bool:
        """Return whether to grant a place that may lead to a rejection."""
        if now - self._started_at < WINDOW_SECONDS:
            # Another issuer may have learnt of rejections.
            return False
        risked = len(self._doubts) + len(self._rejected_at)
        return level <= self._ceiling and risked < _budget(room.rejections_per_second)

    def _deny(self, now: float) -> PlaceDenied:
        """Deny a place; the VMs return one after the other as places are due."""
        self._denied += 1.0
        turn = 1.0 + RETRY_SPACING * (self._denied - 1.0)
        seconds = self._hold_seconds * turn / max(1, self.taken(now))
        return PlaceDenied(max(MIN_RETRY_SECONDS, min(MAX_RETRY_SECONDS, seconds)))

    def _accept(self, place: str) -> None:
        held = self._held.get(place)
        if held is not None and self._doubts.pop(place, None) is not None:
            self._proven = max(self._proven, min(self._most_proven(), self._shown_by(held)))

    def _shown_by(self, accepted: _Place) -> float:
        """Return the places that an accepted request shows to be there.

        Beyond the slots, a single one may have been accepted as another had just ended.
        """
        beyond = max(self._slots, self._ceiling - 1.0)
        return min(float(accepted.level), beyond)

    def _release(self, place: str, now: float, answered: bool) -> None:
        held = self._held.pop(place, None)
        if not answered:
            return
        if held is None:
            self._unknown = max(0, self._unknown - 1)
        else:
            seconds = now - held.granted_at
            self._hold_seconds += HOLD_WEIGHT * (seconds - self._hold_seconds)

    def _reject(self, place: str, now: float) -> None:
        was_doubtful = self._doubts.pop(place, None) is not None
        held = self._held.get(place)
        self._release(place, now, answered=False)
        self._rejected_at.append(now)
        remaining = float(self.taken(now))
        self._ceiling = max(1.0, min(self._ceiling, remaining))
        if was_doubtful:
            return
        self._settled_at = now + SETTLE_SECONDS
        # An upstream that lets none wait still runs as many requests as it has slots.
        explained = held is not None and held.level > self._slots
        self._proven = min(self._proven, self._slots) if explained else 0.0


def _proven_at_start(room: Room) -> float:
    return max(1.0, START_SHARE * room.slots, min(room.slots, room.in_progress))


def _budget(rejections_per_second: float) -> int:
    """Return the rejections in a second to risk; one that the upstream stands is always used.

    Examples
    --------
    >>> [_budget(stands) for stands in (0.2, 1.0, 2.0, 3.0, 5.0, 10.0)]
    [0, 1, 1, 2, 3, 7]
    """
    if rejections_per_second < 1.0:
        return 0
    return max(1, math.floor(USED_SHARE * rejections_per_second))
