"""Where one request goes: the upstream from which its answer is expected first.

The load it answers: many requests share long prompts that fit in no single server's memory, new
weights empty the servers one after the other, and now and then a quarter of them is away. So a
server is chosen by the expected time to its first event: prompt tokens that wait there, tokens
that it must read itself, and the transfer of what another server or the cache store has read
already. Reading a shared part a second time costs far more than its transfer.

A server in doubt, one that takes new weights and one with older weights are used only when no
better one can answer in time. A request that no server can begin in its time is refused at once.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from hollyring.configuration import deployment
from hollyring.core import asks, rendezvous
from hollyring.routing import holdings, serving

MIN_TRANSFER_TOKENS = 128
"""Fewer tokens than this are read again rather than fetched."""

TRANSFER_SETUP_SECONDS = 0.01
OTHER_DOMAIN_FACTOR = 2.0
"""Transfers between failure domains take this many times as long."""

OTHER_DOMAIN_SECONDS = 0.002
OLD_WEIGHTS_SHARE = 0.4
"""Time that newer weights are worth, as a share of the route's target."""

UPGRADED_SHARE = 1 / 3
"""Where so many upstreams have the wanted weights, it may have been wanted for long."""

LATE_SHARE = 1.2
"""Time that a late answer counts for, as a share of the route's target."""

LATE_CENTRE = 1.2
LATE_WIDTH = 0.3
"""Where, in targets, half of the answers are expected to be late, and how fast that share grows."""

FAILURE_SECONDS = 0.6
"""Time that one recent failure counts for."""

AVOID_SECONDS = 5.0
"""Time that a server counts for that takes new weights or serves none: it is the last choice."""

DOUBT_SECONDS = 1.5
SILENCE_SECONDS = 0.7
"""Time that a doubted and a silent server count for: a long queue elsewhere is worse."""

SPREAD_SECONDS = 0.015
"""Most that the same prompt prefers one server to another, other things being equal."""

MIN_SAVED_TOKENS = 1000
"""Shorter shared prompts are not saved: the store would fill with what follows them."""

TRANSFER_SECONDS_PER_TOKEN = 4e-6
"""Time that a fetched token counts for besides its transfer: copies fill the servers' memory."""

STEP_SECONDS = 0.004
"""Time in which a server that reads nothing gives every running answer a token."""

STEP_FACTOR = 3.0
"""A server that reads without a pause takes this many times longer for a step."""

HARM_SHARE = 0.5
"""Part of the time that long answers are delayed by which counts against a place."""

FULL_FACTOR = 1.0
"""A server with this many times its slots in requests is full."""

LONG_TOKENS = 120
"""Answers that are likely to have more tokens than this are long."""

RESERVED_SECONDS = 0.4
"""Time that a reserved server counts for when the answer is long."""

QUEUE_SHARE = 0.9
"""Part of a caller's time that may be spent before the first event."""

MIN_RETRY_SECONDS = 0.2
RETRY_SPREAD = 1.0
"""Callers that are refused together come back over this share of their wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What is to be placed.

    Parameters
    ----------
    request
        The attempt's name.
    service
        The service that takes it.
    prompt
        For language servers.
    organisation
        Name of the organisation if it shares no cache with others, else empty.
    domain
        The VM's failure domain.
    seconds
        Time that the caller still waits.
    target
        Time within which the answer is prompt.
    most_wait
        Longest time that it may wait at an upstream before its own work begins.
    excluded
        Upstreams that were tried.
    """

    request: str
    service: str
    prompt: asks.Prompt | None
    organisation: str
    domain: str
    seconds: float
    target: float
    most_wait: float
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a request goes.

    Parameters
    ----------
    upstream
        The upstream.
    version
        Version of the weights that it must have, 0 for plain services.
    salt
        Name under which prompts are cached there.
    fetch_from, save_to
        Addresses of the holder that parts are fetched from, and of the store that they are saved
        to; empty for none.
    fetched_tokens, unread_tokens
        Tokens that it fetches, and that it must read.
    wait
        Seconds until its own work begins.
    expected
        Seconds to the first event.
    """

    upstream: serving.Upstream
    version: int = 0
    salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    fetched_tokens: int = 0
    unread_tokens: int = 0
    wait: float = 0.0
    expected: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NoPlace:
    """No upstream can serve the request in its time.

    Parameters
    ----------
    retry_after
        Seconds after which one may.
    busy
        Whether upstreams exist that are only too busy.
    """

    retry_after: float
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """A version of weights that is wanted, and since when; `guessed` if that is not known."""

    version: int
    at: float
    guessed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    place: Place
    cost: float


MAX_VERSIONS = 16
"""Wanted versions of one model that are remembered."""

LATE_LIMIT = 30.0
"""Keeps the exponential function in its range."""

NO_UPSTREAM_SECONDS = 0.5
"""When to come back while a service has no upstream."""


def salt_of(model: str, version: int, organisation: str) -> str:
    """Return the name under which parts of prompts are cached.

    Examples
    --------
    >>> salt_of("parish", 3, ""), salt_of("parish", 3, "kigoma")
    ('parish.3', 'parish.3.kigoma')
    """
    return f"{model}.{version}.{organisation}" if organisation else f"{model}.{version}"


class Placing:
    """Chooses upstreams.

    Parameters
    ----------
    known
        The upstreams.
    held
        What they hold.
    version_seconds
        Time after which older weights than those wanted are not used any more.
    """

    __slots__ = (
        "_serving",
        "_holdings",
        "_services",
        "_stores",
        "_named",
        "_versions",
        "_reserved",
        "_left",
        "_version_seconds",
    )

    def __init__(
        self,
        known: serving.Serving,
        held: holdings.Holdings,
        version_seconds: float = math.inf,
    ) -> None:
        self._serving = known
        self._holdings = held
        self._services: Mapping[str, deployment.Service] = {}
        self._stores: list[deployment.CacheStore] = []
        self._named: dict[str, Named] = {}
        self._versions: dict[str, dict[int, Named]] = {}
        self._version_seconds = version_seconds
        self._reserved: frozenset[str] = frozenset()
        self._left: dict[str, float] = {}

    def reserve(self, upstreams: Iterable[str]) -> None:
        """Keep long answers away from servers that are next to take new weights."""
        self._reserved = frozenset(upstreams)

    def leave_store(self, address: str, until: float) -> None:
        """Use a cache store only after `until`."""
        self._left[address] = until

    def configure(self, current: deployment.Deployment) -> None:
        """Take in a configuration."""
        self._services = current.services
        self._stores = current.cache_stores()

    def name_version(self, model: str, version: int, at: float, guessed: bool = False) -> None:
        """Take in the version of the weights that is wanted since `at`, or since before it."""
        versions = self._versions.setdefault(model, {})
        known = versions.get(version)
        if known is None or (known.guessed and not guessed):
            versions[version] = Named(version, at, guessed)
        elif not guessed:
            versions[version] = Named(version, min(at, known.at))
        while len(versions) > MAX_VERSIONS:
            del versions[min(versions)]
        self._named[model] = versions[max(versions)]

    @property
    def all_named(self) -> Iterator[tuple[str, Named]]:
        """The wanted versions of each model's weights, overtaken ones too."""
        for model, versions in self._versions.items():
            yield from ((model, named) for named in versions.values())

    @property
    def named(self) -> Mapping[str, Named]:
        """The wanted version of each model's weights."""
        return self._named

    def place(self, wanted: Wanted, now: float) -> Place | NoPlace:
        """Return where the request goes."""
        known = [
            upstream
            for upstream in self._serving.of_service(wanted.service)
            if not upstream.entry.leaving
            and upstream.name not in wanted.excluded
            and not self._is_overdue(wanted, upstream, now)
        ]
        choices = [self._choice(wanted, upstream, now) for upstream in known]
        if not choices:
            return NoPlace(NO_UPSTREAM_SECONDS, busy=False)
        best = min(choices, key=lambda choice: choice.cost)
        over = best.place.expected - wanted.seconds * QUEUE_SHARE
        over = max(over, best.place.wait - wanted.most_wait)
        if over > 0:
            return NoPlace(_retry_seconds(wanted, over), busy=True)
        return best.place

    def _is_overdue(self, wanted: Wanted, upstream: serving.Upstream, now: float) -> bool:
        """Tell whether an upstream's weights are too old to be used at all."""
        if wanted.prompt is None:
            return False
        version = upstream.version(wanted.prompt.model)
        versions = self._versions.get(wanted.prompt.model, {})
        # The first version that it lacks decides: a later one does not make it young again.
        return any(
            now - named.at > self._version_seconds
            or (named.guessed and self._upgraded_share(wanted, named.version) >= UPGRADED_SHARE)
            for named in versions.values()
            if named.version > version
        )

    def _upgraded_share(self, wanted: Wanted, version: int) -> float:
        """Return which share of a service's upstreams has a version of the weights."""
        known = self._serving.of_service(wanted.service)
        model = wanted.prompt.model if wanted.prompt else ""
        return sum(u.version(model) >= version for u in known) / max(1, len(known))

    def _choice(self, wanted: Wanted, upstream: serving.Upstream, now: float) -> _Choice:
        service = self._services.get(wanted.service)
        engine = service.engine if service else None
        if wanted.prompt is None or engine is None:
            place = Place(upstream, expected=_plain_seconds(upstream, now))
        else:
            place = self._engine_place(wanted, wanted.prompt, upstream, engine, now)
        cost = place.expected + _penalty(upstream, now) + _spread(wanted, upstream.name)
        cost += LATE_SHARE * wanted.target * _late_part(place.expected, wanted.target)
        if upstream.entry.domain != wanted.domain:
            cost += OTHER_DOMAIN_SECONDS
        if wanted.prompt is not None:
            named = self._named.get(wanted.prompt.model)
            if named is not None and place.version < named.version:
                cost += OLD_WEIGHTS_SHARE * wanted.target
            if not place.version:
                cost += AVOID_SECONDS
            cost += place.fetched_tokens * TRANSFER_SECONDS_PER_TOKEN
            cost += _harm(place, wanted.prompt, now)
            if upstream.name in self._reserved and is_long(wanted.prompt):
                cost += RESERVED_SECONDS
        return _Choice(place, cost)

    def _engine_place(
        self,
        wanted: Wanted,
        prompt: asks.Prompt,
        upstream: serving.Upstream,
        engine: deployment.Engine,
        now: float,
    ) -> Place:
        version = upstream.version(prompt.model)
        salt = salt_of(prompt.model, version, wanted.organisation)
        own = self._holdings.tokens(upstream.name, salt, prompt.parts)
        source, elsewhere = self._source(upstream, salt, prompt.parts, engine, now)
        fetched = elsewhere - own if elsewhere - own >= MIN_TRANSFER_TOKENS else 0
        unread = max(0, prompt.prompt_tokens - own - fetched)
        wait = _queue_seconds(upstream, engine, now)
        seconds = wait + serving.FIRST_EVENT_SECONDS * upstream.pace(now)
        seconds += unread / serving.TOKENS_PER_SECOND * upstream.pace(now)
        if fetched:
            same = source.domain == upstream.entry.domain
            factor = 1.0 if same else OTHER_DOMAIN_FACTOR
            seconds += TRANSFER_SETUP_SECONDS
            seconds += factor * fetched * engine.token_bits / engine.link_bits
        return Place(
            upstream,
            version,
            salt,
            source.address if fetched else "",
            self._save_to(salt, prompt, now),
            fetched,
            unread,
            wait,
            seconds,
        )

    def _save_to(self, salt: str, prompt: asks.Prompt, now: float) -> str:
        """Return the store that lacks shared parts of the prompt."""
        shared = prompt.shared
        tokens = sum(part.tokens for part in shared)
        if tokens < MIN_SAVED_TOKENS:
            return ""
        for store in self._usable_stores(now):
            if self._holdings.tokens(store.address, salt, shared) < tokens:
                return store.address
        return ""

    def _usable_stores(self, now: float) -> list[deployment.CacheStore]:
        return [s for s in self._stores if self._left.get(s.address, now) <= now]

    def _source(
        self,
        target: serving.Upstream,
        salt: str,
        parts: Sequence[asks.Part],
        engine: deployment.Engine,
        now: float,
    ) -> tuple[_Source, int]:
        """Return the holder that has most of the prompt, the nearest of equals."""
        best, most = _NOBODY, 0
        for other in self._serving.of_service(target.entry.service):
            if other is target or other.doubted(now) or other.loading(now):
                continue
            tokens = self._holdings.tokens(other.name, salt, parts)
            near = other.entry.domain == target.entry.domain
            if tokens > most or (tokens == most > 0 and near):
                best, most = _Source(other.entry.address, other.entry.domain), tokens
        for store in self._usable_stores(now):
            tokens = self._holdings.tokens(store.address, salt, parts)
            if tokens >= most > 0 or tokens > most:
                best, most = _Source(store.address, store.domain), tokens
        return best, most


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    address: str
    domain: str


_NOBODY = _Source("", "")


def _plain_seconds(upstream: serving.Upstream, now: float) -> float:
    rounds = upstream.requests(now) / max(1, upstream.entry.slots)
    return upstream.plain_seconds * upstream.pace(now) * (1.0 + rounds)


def _queue_seconds(upstream: serving.Upstream, engine: deployment.Engine, now: float) -> float:
    """Return how long a request waits at a language server before its prompt is read."""
    pace = upstream.pace(now)
    seconds = upstream.unread_tokens(now) / serving.TOKENS_PER_SECOND * pace
    over = upstream.requests(now) - FULL_FACTOR * max(1, engine.slots)
    return seconds + max(0.0, over) / max(1, engine.slots) * pace


def _penalty(upstream: serving.Upstream, now: float) -> float:
    penalty = upstream.failure_level(now) * FAILURE_SECONDS
    if upstream.loading(now):
        penalty += AVOID_SECONDS
    if upstream.doubted(now):
        penalty += DOUBT_SECONDS
    if upstream.silent_seconds(now) > serving.MIN_SILENCE_SECONDS:
        penalty += SILENCE_SECONDS
    return penalty


def _retry_seconds(wanted: Wanted, over: float) -> float:
    """Return when a refused request may come back, later for some than for others."""
    fraction = rendezvous.weight(wanted.request.encode(), "retry") / 2.0**64
    seconds = max(MIN_RETRY_SECONDS, over + wanted.most_wait / 2)
    return seconds * (1.0 + RETRY_SPREAD * fraction)


def _late_part(expected: float, target: float) -> float:
    """Return which part of the answers expected after `expected` seconds is late.

    Examples
    --------
    >>> round(_late_part(0.12, 0.1), 2), _late_part(0.01, 0.1) < 0.05
    (0.5, True)
    """
    beyond = (expected / max(target, 1e-3) - LATE_CENTRE) / LATE_WIDTH
    return 1.0 / (1.0 + math.exp(-max(-LATE_LIMIT, min(LATE_LIMIT, beyond))))


def is_long(prompt: asks.Prompt | None) -> bool:
    """Tell whether the answer is long."""
    return prompt is not None and prompt.likely_tokens > LONG_TOKENS


def _harm(place: Place, prompt: asks.Prompt, now: float) -> float:
    """Return what reading and long answers at one server cost each other.

    A server reads prompts between the steps of running answers. So prompts go where few long
    answers run, and long answers where little is read.
    """
    upstream = place.upstream
    reading = place.unread_tokens / serving.TOKENS_PER_SECOND
    harm = reading * upstream.all_long_answers(now)
    if is_long(prompt):
        busy = min(1.0, upstream.reading(now) / serving.TOKENS_PER_SECOND)
        harm += prompt.likely_tokens * STEP_SECONDS * STEP_FACTOR * busy
    return HARM_SHARE * harm


def _spread(wanted: Wanted, upstream: str) -> float:
    """Return a small difference by which all VMs prefer the same servers for the same prompt."""
    key = wanted.request
    if wanted.prompt is not None and wanted.prompt.shared:
        key = wanted.prompt.shared[-1].name
    return rendezvous.weight(key.encode(), upstream) / 2.0**64 * SPREAD_SECONDS
