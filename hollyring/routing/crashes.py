"""Which requests crash the servers that begin to answer them, as a whole or by a prompt part.

A server that crashes breaks off every request that it works on, and one of them may be the reason.
Each crash is recorded with the parts of its broken requests: the parts of prompts that others may
share, and each request as a whole, known by its caller, path and body. The part that most crashes
have in common is blamed, as the requests that crash servers have nothing else in common; its
crashes then count against no other part. Parts of an answer that ended whole around the crash or
later cannot be the reason.

Parts that always came together cannot be told apart. They are blamed together, and only requests
that have all of them are refused; those with some of them show sooner or later which part it is.
Nor are parts blamed while one request as a whole, sent again and again, explains all their crashes.

A whole request that three crashes have in common is blamed, whatever else they have in common.
Sound ones may follow the one that is the reason from server to server, until their tries are used
up. After some time one VM, the first of those that saw the crashes, therefore sends one such
request on trial: a whole answer ends the blame. One of which some VM got a whole answer shortly
before is not blamed as long as another one explains all of its crashes.

The decision needs the records of all VMs, as each may have seen a different crash. It depends on
messages and the time only.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import math
from collections.abc import Iterable

from hollyring.core import identities, request_types
from hollyring.routing import bounded_tables

MIN_CRASHES = 3
"""Crashes of different servers with parts in common from which these are blamed."""

MIN_TIED_CRASHES = 5
"""The same where other parts explain some of the crashes equally well."""

SETTLE_SECONDS = 0.4
"""Time after a crash for other VMs to name the parts that are not to blame."""

SOUND_SECONDS = 2.0
"""Time for which an answer that ended whole clears its parts of a later crash."""

EARLIER_SECONDS = 60.0
"""Time for which an answer that ended whole tells its request from another at the same crashes."""

RECORD_SECONDS = 60.0
"""Time for which a crash counts."""

BLAME_SECONDS = 300.0
"""Time for which a blamed part is refused; then one more crash is enough to blame it again."""

TRIAL_AFTER_SECONDS = 8.0
"""Time after which a blamed whole request is sent once on trial."""

MIN_ADOPTED_SECONDS = 1.0
"""Time for which another VM's blame must still hold to be taken."""

MAX_RECORDS = 64
MAX_PARTS_PER_RECORD = 1024
MAX_BLAMED = 64
MAX_SOUND = 4096
"""Bounds on what is remembered, oldest first; blames of parts and of whole requests each.

Requests may all have different parts, and dozens that are blamed as a whole may have the same one.
"""

DIGEST_BYTES = 8
REQUEST_PREFIX = "r-"
"""Prefix of the hashes of whole requests, which tells them from those of prompt parts."""


def part_hash(part: request_types.Part) -> str:
    """Return the name of a part in messages and logs, which must not show its content.

    Examples
    --------
    >>> part_hash(request_types.Part("a", 10)) == part_hash(request_types.Part("a", 20))
    True
    """
    return hashlib.blake2b(part.name.encode(), digest_size=DIGEST_BYTES).hexdigest()


def part_hashes(prompt: request_types.Prompt | None) -> tuple[str, ...]:
    """Return the hashes of the parts that may crash a server: all but the last."""
    if prompt is None:
        return ()
    return tuple(part_hash(part) for part in prompt.shared_parts)


def request_hash(path: str, organisation: str, body: bytes) -> str:
    """Return the hash of a request as a whole, which is the same whenever the request comes again.

    Examples
    --------
    >>> request_hash("/a", "kigoma", b"x") == request_hash("/a", "kigoma", b"x")
    True
    >>> request_hash("/a", "kigoma", b"x") == request_hash("/a", "mtwara", b"x")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (path.encode(), organisation.encode()):
        digest.update(b"%d:%b" % (len(field), field))
    digest.update(body)
    return REQUEST_PREFIX + digest.hexdigest()


def suspects(request: request_types.Request, organisation: str) -> tuple[str, ...]:
    """Return the hashes of what may crash a server: the parts of the prompt and the whole request.

    Parameters
    ----------
    organisation
        Name of the caller's organisation, empty if it has none.
    """
    whole = request_hash(request.path, organisation, request.body)
    return (*part_hashes(request.prompt), whole)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crash of a server, and the hashes of the parts of the requests that it broke off at a VM."""

    server: identities.Incarnation
    parts: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """Parts that are blamed for crashes, of which one is the reason.

    Parameters
    ----------
    parts
        Hashes of the parts; requests that have all of them are refused.
    servers
        Servers that crashed with them.
    witnesses
        Names of the VMs that saw these crashes.
    """

    parts: frozenset[str]
    servers: tuple[str, ...]
    witnesses: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Record:
    at: float
    candidates: set[str]
    witnesses: dict[str, set[str]]  # by part


@dataclasses.dataclass(slots=True)
class _ActiveBlame:
    blame: Blame
    since: float
    until: float
    tried: bool = False


_Records = dict[identities.Incarnation, _Record]


class PartCrashes:
    """Crashes of servers and the parts, whole requests among them, that are blamed for them.

    Examples
    --------
    >>> crashes = PartCrashes()
    >>> for number in range(3):
    ...     report = CrashReport(
    ...         identities.Incarnation(f"ls-{number}", 1), frozenset({"bad", f"other-{number}"})
    ...     )
    ...     _ = crashes.record_crash(report, f"vm-{number}", now=float(number))
    >>> [sorted(blame.parts) for blame in crashes.decide(now=3.0)]
    [['bad']]
    >>> crashes.blamed(["good", "bad"], now=3.0).witnesses
    ('vm-0', 'vm-1', 'vm-2')
    """

    __slots__ = ("_records", "_sound", "_earlier", "_blamed", "_expired", "_undecided")

    def __init__(self) -> None:
        self._records: _Records = {}  # oldest first
        self._sound: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._earlier: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._blamed: collections.OrderedDict[frozenset[str], _ActiveBlame] = (
            collections.OrderedDict()
        )
        self._expired: collections.OrderedDict[frozenset[str], None] = collections.OrderedDict()
        self._undecided = False

    @property
    def records(self) -> int:
        """Number of crashes that count."""
        return len(self._records)

    @property
    def any_blamed(self) -> bool:
        """Whether a part is blamed."""
        return bool(self._blamed)

    def record_crash(self, report: CrashReport, witness: str, now: float) -> set[str]:
        """Record a crash that a VM saw; return the parts that are known not to be the reason."""
        record = self._records.get(report.server)
        if record is None:
            record = self._records[report.server] = _Record(now, set(), {})
            while len(self._records) > MAX_RECORDS:
                self._forget_oldest_crash()
        sound = {part for part in report.parts if self._is_cleared_by_answer(part, record.at)}
        for part in sorted(report.parts - sound):
            if len(record.candidates) >= MAX_PARTS_PER_RECORD and part not in record.candidates:
                break
            record.candidates.add(part)
            record.witnesses.setdefault(part, set()).add(witness)
        self._undecided = True
        return sound

    def record_sound(self, parts: Iterable[str], now: float) -> set[str]:
        """Record parts of an answer that ended whole; return those that were under suspicion."""
        suspected = set()
        sound = tuple(parts)
        for part in sound:
            self._sound[part] = now
            self._sound.move_to_end(part)
            if self._clear_of_blame(part):
                suspected.add(part)
            for group in [group for group in self._expired if part in group]:
                del self._expired[group]
        for record in self._records.values():
            cleared = record.candidates.intersection(sound)
            record.candidates -= cleared
            suspected |= cleared
        bounded_tables.limit(self._sound, MAX_SOUND)
        return suspected

    def answered_earlier(self, report: CrashReport, now: float) -> set[str]:
        """Return the whole requests of a crash of which this VM got whole answers some time ago."""
        return {
            part
            for part in report.parts
            if _is_whole_request(part) and now - self._sound.get(part, -math.inf) < EARLIER_SECONDS
        }

    def record_earlier(self, requests: Iterable[str], now: float) -> None:
        """Record whole requests of which some VM got whole answers before they were at crashes."""
        for request in requests:
            self._earlier[request] = now
            self._earlier.move_to_end(request)
        bounded_tables.limit(self._earlier, MAX_SOUND)

    def decide(self, now: float) -> list[Blame]:
        """Return the blames that hold from now on."""
        self._forget(now)
        if not self._undecided:
            return []
        settled = {
            server: record
            for server, record in self._records.items()
            if now - record.at >= SETTLE_SECONDS
        }
        self._undecided = len(settled) < len(self._records)
        found = [
            self._blame_of(frozenset({request}), settled)
            for request in self._requests_to_blame(settled, now)
        ]
        while groups := self._groups_to_blame(settled):
            found += [self._blame_of(parts, settled) for parts in groups]
            settled = {
                server: record
                for server, record in settled.items()
                if not any(parts <= record.candidates for parts in groups)
            }
        new = [blame for blame in found if blame.parts not in self._blamed]
        for blame in new:
            self._blame(blame, now, BLAME_SECONDS)
        return new

    def adopt(self, blame: Blame, now: float, seconds: float = BLAME_SECONDS) -> bool:
        """Take another VM's blame, but for sound parts; return whether something is new.

        Parameters
        ----------
        seconds
            Time for which it still holds there. One that ends soon is not taken, so that VMs which
            learnt of it at different times do not renew it for each other.
        """
        if seconds < MIN_ADOPTED_SECONDS:
            return False
        parts = blame.parts - self.cleared_by_answers(blame, now)
        if not parts or parts in self._blamed or self._is_excused(blame, now):
            return False
        self._blame(dataclasses.replace(blame, parts=parts), now, seconds)
        return True

    def cleared_by_answers(self, blame: Blame, now: float) -> set[str]:
        """Return the parts of another VM's blame of which answers have just ended whole."""
        return {part for part in blame.parts if self._is_cleared_by_answer(part, now)}

    def blamed(self, parts: Iterable[str], now: float) -> Blame | None:
        """Return the blame of parts that a request has, None if it may be sent."""
        if not self._blamed:
            return None
        present = frozenset(parts)
        for group, active in self._blamed.items():
            if group <= present and now < active.until:
                return active.blame
        return None

    def begin_trial(self, blame: Blame, vm: str, now: float) -> bool:
        """Return whether a VM may send a request that is blamed as a whole, which it may do once.

        Parameters
        ----------
        vm
            Name of the VM.
        """
        active = self._blamed.get(blame.parts)
        if active is None or active.tried or not _is_of_requests(blame.parts):
            return False
        if blame.witnesses[:1] != (vm,) or now - active.since < TRIAL_AFTER_SECONDS:
            return False
        active.tried = True
        return True

    def blames(self) -> list[Blame]:
        """Return the blames that hold."""
        return [active.blame for active in self._blamed.values()]

    def seconds_left(self, blame: Blame, now: float) -> float:
        """Return the time for which a blame holds from now on, 0 if it does not."""
        active = self._blamed.get(blame.parts)
        return 0.0 if active is None else max(0.0, active.until - now)

    def forget_all(self) -> None:
        """Forget all blames and crashes, as they do not explain why servers crash."""
        self._records.clear()
        self._blamed.clear()
        self._expired.clear()

    def _is_cleared_by_answer(self, part: str, crashed_at: float) -> bool:
        return self._sound.get(part, -math.inf) >= crashed_at - SOUND_SECONDS

    def _blame(self, blame: Blame, now: float, seconds: float) -> None:
        """Begin to blame parts, and no longer a larger group that cannot be told apart."""
        for wider in [group for group in self._blamed if group > blame.parts]:
            del self._blamed[wider]
        self._blamed[blame.parts] = _ActiveBlame(blame, now, now + seconds)
        self._expired.pop(blame.parts, None)
        bounded_tables.limit_each(self._blamed, MAX_BLAMED, _is_of_requests)

    def _clear_of_blame(self, part: str) -> bool:
        """Blame a part no longer, but the others of its groups; return whether it was blamed."""
        groups = [group for group in self._blamed if part in group]
        for group in groups:
            active = self._blamed.pop(group)
            others = group - {part}
            if others:
                active.blame = dataclasses.replace(active.blame, parts=others)
                self._blamed[others] = active
        return bool(groups)

    def _requests_to_blame(self, records: _Records, now: float) -> list[str]:
        """Return the whole requests that enough crashes have in common.

        One that was answered earlier is left out as long as another one that was not explains all
        of its crashes.
        """
        crashed_by = {
            request: crashed
            for request, crashed in _crashes_of_requests(records).items()
            if len(crashed) >= MIN_CRASHES
        }
        never_answered = [
            crashed for request, crashed in crashed_by.items() if not self._is_earlier(request, now)
        ]
        return [
            request
            for request, crashed in crashed_by.items()
            if not self._is_earlier(request, now)
            or not any(crashed <= other for other in never_answered)
        ]

    def _is_excused(self, blame: Blame, now: float) -> bool:
        """Return whether another blamed request explains a blame of one that was answered."""
        return any(self._is_earlier(part, now) for part in blame.parts) and any(
            set(blame.servers) <= set(active.blame.servers)
            for active in self._blamed.values()
            if not any(self._is_earlier(part, now) for part in active.blame.parts)
        )

    def _is_earlier(self, request: str, now: float) -> bool:
        return now - self._earlier.get(request, -math.inf) < EARLIER_SECONDS

    def _groups_to_blame(self, records: _Records) -> list[frozenset[str]]:
        """Return the groups of parts that most crashes have in common, none if too few have."""
        expired = [
            group
            for group in self._expired
            if any(group <= record.candidates for record in records.values())
        ]
        if expired:
            return expired
        crashed_by_requests = set(_crashes_of_requests(records).values())
        groups = {
            crashed: parts
            for crashed, parts in _groups_by_crashes(records).items()
            if not any(crashed <= by_request for by_request in crashed_by_requests)
        }
        most = max(map(len, groups), default=0)
        leaders = {crashed: parts for crashed, parts in groups.items() if len(crashed) == most}
        if most < MIN_CRASHES:
            return []
        if most >= MIN_TIED_CRASHES:
            return list(leaders.values())
        return [parts for crashed, parts in leaders.items() if _is_only(crashed, leaders)]

    def _blame_of(self, parts: frozenset[str], records: _Records) -> Blame:
        counting = {s: r for s, r in records.items() if parts <= r.candidates}
        witnesses = {
            witness for r in counting.values() for part in parts for witness in r.witnesses[part]
        }
        return Blame(parts, tuple(str(server) for server in counting), tuple(sorted(witnesses)))

    def _forget(self, now: float) -> None:
        while self._records and now - next(iter(self._records.values())).at > RECORD_SECONDS:
            self._forget_oldest_crash()
        for group, active in list(self._blamed.items()):
            if now >= active.until:
                del self._blamed[group]
                self._expired[group] = None
        bounded_tables.limit_each(self._expired, MAX_BLAMED, _is_of_requests)

    def _forget_oldest_crash(self) -> None:
        del self._records[next(iter(self._records))]


def _groups_by_crashes(
    records: _Records,
) -> dict[frozenset[identities.Incarnation], frozenset[str]]:
    """Return the parts of prompts grouped by the crashes that they have in common."""
    groups: dict[frozenset[identities.Incarnation], set[str]] = collections.defaultdict(set)
    for part, servers in _crashes_by_candidate(records).items():
        if not _is_whole_request(part):
            groups[servers].add(part)
    return {servers: frozenset(parts) for servers, parts in groups.items()}


def _crashes_of_requests(records: _Records) -> dict[str, frozenset[identities.Incarnation]]:
    """Return the crashes at which each whole request was broken off."""
    return {
        request: servers
        for request, servers in _crashes_by_candidate(records).items()
        if _is_whole_request(request)
    }


def _crashes_by_candidate(records: _Records) -> dict[str, frozenset[identities.Incarnation]]:
    crashed: dict[str, set[identities.Incarnation]] = collections.defaultdict(set)
    for server, record in records.items():
        for candidate in record.candidates:
            crashed[candidate].add(server)
    return {candidate: frozenset(servers) for candidate, servers in crashed.items()}


def _is_whole_request(candidate: str) -> bool:
    return candidate.startswith(REQUEST_PREFIX)


def _is_of_requests(group: frozenset[str]) -> bool:
    return all(map(_is_whole_request, group))


def _is_only(
    crashed: frozenset[identities.Incarnation],
    leaders: Iterable[frozenset[identities.Incarnation]],
) -> bool:
    """Return whether no other group that as many crashes have in common explains one of them."""
    return all(crashed == other or crashed.isdisjoint(other) for other in leaders)
