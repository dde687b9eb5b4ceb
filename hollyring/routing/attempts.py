"""This VM's dispatches under way, and what it learns from how they go."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Mapping

from hollyring.core import pieces
from hollyring.routing import index, memory, placement, prefix, requests

MAX_ATTEMPTS = 20_000
"""Dispatches followed at once; the oldest is given up beyond it."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    upstream: str
    incarnation: int
    chain: prefix.Chain
    expected_pieces: int
    expected_seconds: float
    source: requests.Source
    sighting_age: float
    at: float
    started: bool = False


@dataclasses.dataclass(slots=True)
class Counters:
    """How the attempts went; `late` counts news of unknown or ended ones."""

    late: int = 0
    failed: int = 0
    expected_pieces: int = 0
    cached_pieces: int = 0


class Attempts:
    """Follows attempts by number; news of one that ended is dropped and counted.

    Parameters
    ----------
    states
        The upstreams by name, as the router keeps them.
    sightings, cache_index
        Learn from what answers report.
    """

    __slots__ = ("_states", "_memory", "_index", "_attempts", "_numbers", "counters")

    def __init__(
        self,
        states: Mapping[str, placement.State],
        sightings: memory.Sightings,
        cache_index: index.CacheIndex,
    ) -> None:
        self._states = states
        self._memory = sightings
        self._index = cache_index
        self._attempts: dict[int, _Attempt] = {}
        self._numbers = itertools.count(1)
        self.counters = Counters()

    def __len__(self) -> int:
        return len(self._attempts)

    def dispatched(self, request: requests.RouteRequest, route: requests.Route, now: float) -> int:
        """Follow a new attempt and return its number."""
        number = next(self._numbers)
        names = request.chain.names
        expected = route.expected_cached_tokens // pieces.PIECE_TOKENS
        if len(self._attempts) >= MAX_ATTEMPTS:
            self._end(next(iter(self._attempts)))
        self._attempts[number] = _Attempt(
            route.upstream,
            route.incarnation,
            request.chain,
            expected,
            route.expected_seconds,
            route.source,
            self._memory.age(route.upstream, names, expected, now),
            now,
        )
        self.counters.expected_pieces += expected
        state = self._states.get(route.upstream)
        if state is not None:
            uncached = request.prompt_tokens - route.expected_cached_tokens
            state.load.dispatched(number, uncached, now)
            state.health.dispatched(number)
            self._memory.remember(route.upstream, route.incarnation, names, now)
        return number

    def first_token(self, number: int, now: float) -> None:
        """Note an attempt's first token: its upstream holds the whole chain now."""
        attempt = self._attempts.get(number)
        if attempt is None or attempt.started:
            self.counters.late += attempt is None
            return
        attempt.started = True
        state = self._states.get(attempt.upstream)
        if state is None or state.incarnation != attempt.incarnation:
            return
        state.load.first_token(number, now)
        state.health.first_token(number, now - attempt.at, attempt.expected_seconds, now)
        self._memory.remember(attempt.upstream, attempt.incarnation, attempt.chain.names, now)

    def finished(self, number: int, cached_tokens: int | None) -> None:
        """Note an attempt's end and compare its cached tokens with what was expected."""
        attempt = self._end(number)
        if attempt is None or cached_tokens is None:
            return
        cached = cached_tokens // pieces.PIECE_TOKENS
        self.counters.cached_pieces += cached
        match attempt.source:
            case requests.Source.INDEX:
                self._index.contradict(attempt.upstream, attempt.expected_pieces, cached)
            case requests.Source.MEMORY:
                kept = cached >= attempt.expected_pieces
                self._memory.learn(attempt.upstream, attempt.sighting_age, kept)

    def failed(self, number: int, now: float, lost: bool) -> None:
        """Note an attempt's failure.

        Parameters
        ----------
        number
            Which attempt.
        now
            Present time.
        lost
            The connection failed or was cut, so that the upstream may have restarted; false for a
            refusal by a living upstream.
        """
        attempt = self._end(number, now)
        if attempt is None:
            return
        self.counters.failed += 1
        if lost:
            self._memory.invalidate(attempt.upstream, now)
            return
        self._memory.forget(attempt.upstream, attempt.chain.names[attempt.expected_pieces :])

    def _end(self, number: int, failed_at: float | None = None) -> _Attempt | None:
        attempt = self._attempts.pop(number, None)
        if attempt is None:
            self.counters.late += 1
            return None
        state = self._states.get(attempt.upstream)
        if state is None:
            return attempt
        state.load.forget(number)
        if failed_at is None:
            state.health.ended(number)
        else:
            state.health.failed(number, failed_at)
        return attempt
