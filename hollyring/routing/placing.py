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
from collections.abc import Iterable, Mapping, Sequence

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.routing import costs, holdings, serving, wanted_versions

MIN_TRANSFER_TOKENS = 128
"""Fewer tokens than this are read again rather than fetched."""

TRANSFER_SETUP_SECONDS = 0.01
OTHER_DOMAIN_FACTOR = 2.0
"""Transfers between failure domains take this many times as long."""

OTHER_DOMAIN_SECONDS = 0.002
OLD_WEIGHTS_SHARE = 0.4
"""Time that newer weights are worth, as a share of the route's target."""

LATE_SHARE = 1.2
"""Time that a late answer counts for, as a share of the route's target."""

MIN_SAVED_TOKENS = 1000
"""Shorter shared prompts are not saved: the store would fill with what follows them."""

TRANSFER_SECONDS_PER_TOKEN = 4e-6
"""Time that a fetched token counts for besides its transfer: copies fill the servers' memory."""

RESERVED_SECONDS = 0.4
"""Time that a reserved server counts for when the answer is long."""

QUEUE_SHARE = 0.9
"""Part of a caller's time that may be spent before the first event."""


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
    prompt: request_types.Prompt | None
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
class _Choice:
    place: Place
    cost: float


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
    versions
        The versions of weights that are wanted.
    """

    __slots__ = (
        "_serving",
        "_holdings",
        "_services",
        "_stores",
        "_versions",
        "_reserved",
        "_left",
    )

    def __init__(
        self,
        known: serving.Serving,
        held: holdings.Holdings,
        versions: wanted_versions.WantedVersions,
    ) -> None:
        self._serving = known
        self._holdings = held
        self._services: Mapping[str, deployment.Service] = {}
        self._stores: list[deployment.CacheStore] = []
        self._versions = versions
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
            return NoPlace(costs.retry_seconds(wanted.request, over, wanted.most_wait), busy=True)
        return best.place

    def _is_overdue(self, wanted: Wanted, upstream: serving.Upstream, now: float) -> bool:
        """Tell whether an upstream's weights are too old to be used at all."""
        if wanted.prompt is None:
            return False
        model = wanted.prompt.model
        known = self._serving.of_service(wanted.service)

        def share_of(version: int) -> float:
            return sum(u.version(model) >= version for u in known) / max(1, len(known))

        return self._versions.is_overdue(model, upstream.version(model), now, share_of)

    def _choice(self, wanted: Wanted, upstream: serving.Upstream, now: float) -> _Choice:
        service = self._services.get(wanted.service)
        engine = service.engine if service else None
        if wanted.prompt is None or engine is None:
            place = Place(upstream, expected=costs.plain_seconds(upstream, now))
        else:
            place = self._engine_place(wanted, wanted.prompt, upstream, engine, now)
        cost = (
            place.expected
            + costs.penalty(upstream, now)
            + costs.spread(wanted.request, wanted.prompt, upstream.name)
        )
        cost += LATE_SHARE * wanted.target * costs.late_part(place.expected, wanted.target)
        if upstream.entry.domain != wanted.domain:
            cost += OTHER_DOMAIN_SECONDS
        if wanted.prompt is not None:
            named = self._versions.newest(wanted.prompt.model)
            if named is not None and place.version < named.version:
                cost += OLD_WEIGHTS_SHARE * wanted.target
            if not place.version:
                cost += costs.AVOID_SECONDS
            cost += place.fetched_tokens * TRANSFER_SECONDS_PER_TOKEN
            cost += costs.harm(upstream, place.unread_tokens, wanted.prompt, now)
            if upstream.name in self._reserved and costs.is_long(wanted.prompt):
                cost += RESERVED_SECONDS
        return _Choice(place, cost)

    def _engine_place(
        self,
        wanted: Wanted,
        prompt: request_types.Prompt,
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
        wait = costs.queue_seconds(upstream, engine, now)
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

    def _save_to(self, salt: str, prompt: request_types.Prompt, now: float) -> str:
        """Return the store that lacks shared parts of the prompt."""
        shared = prompt.shared_parts
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
        parts: Sequence[request_types.Part],
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
