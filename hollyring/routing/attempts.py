"""This VM's dispatches under way, and what it learns from how they go."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Mapping

from hollyring.core import prompt_blocks
from hollyring.routing import index, memory, placement, prefix, requests

MAX_ATTEMPTS = 20_000
"""Dispatches followed at once; the oldest is given up beyond it."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    upstream: str
    incarnation: int
    chain: prefix.Chain
    expected_pieces: int
    prompt_tokens: int
    nominal_wait: float
    source: requests.Source
    sighting_age: float
    at: float
    first_token: float = 0.0


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
        expected = route.expected_cached_tokens // prompt_blocks.BLOCK_TOKENS
        state = self._states.get(route.upstream)
        if len(self._attempts) >= MAX_ATTEMPTS:
            self._end(next(iter(self._attempts)))
        self._attempts[number] = _Attempt(
            route.upstream,
            route.incarnation,
            request.chain,
            expected,
            request.prompt_tokens,
            state.load.nominal_queue_seconds(now) if state else 0.0,
            route.source,
            self._memory.age(route.upstream, names, expected, now),
            now,
        )
        self.counters.expected_pieces += expected
        if state is not None:
            uncached = request.prompt_tokens - route.expected_cached_tokens
            state.load.dispatched(number, uncached, request.prompt_tokens, now)
            state.health.dispatched(number)
            self._memory.remember(route.upstream, route.incarnation, names, now)
        return number

    def first_token(self, number: int, now: float) -> None:
        """Note an attempt's first token: its upstream holds the whole chain now."""
        attempt = self._attempts.get(number)
        if attempt is None or attempt.first_token:
            self.counters.late += attempt is None
            return
        attempt.first_token = now - attempt.at
        state = self._states.get(attempt.upstream)
        if state is None or state.incarnation != attempt.incarnation:
            return
        state.load.first_token(number, now)
        self._memory.remember(attempt.upstream, attempt.incarnation, attempt.chain.names, now)

    def finished(self, number: int, cached_tokens: int | None, now: float) -> None:
        """Note an attempt's end and compare its cached tokens and time with the expected ones."""
        attempt = self._attempts.get(number)
        if attempt is not None and cached_tokens is not None:
            self._judge(number, attempt, cached_tokens, now)
        self._end(number)
        if attempt is None or cached_tokens is None:
            return
        cached = cached_tokens // prompt_blocks.BLOCK_TOKENS
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

    def _judge(self, number: int, attempt: _Attempt, cached_tokens: int, now: float) -> None:
        state = self._states.get(attempt.upstream)
        if state is None or state.incarnation != attempt.incarnation or not attempt.first_token:
            return
        uncached = max(0, attempt.prompt_tokens - cached_tokens)
        expected = attempt.nominal_wait + uncached / state.load.prefill_tokens_per_second
        state.load.learn(attempt.first_token, expected, now)
        state.health.first_token(number, attempt.first_token, expected, now)

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
