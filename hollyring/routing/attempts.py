"""Attempts that this VM has in progress, and the estimates updated from their results."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Mapping

from hollyring.core import prompt_blocks
from hollyring.routing import index, placement, prefix, recent_prefixes, requests

MAX_ATTEMPTS = 20_000
"""Maximum number of tracked attempts; the oldest is dropped first."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    upstream: str
    incarnation: int
    chain: prefix.Chain
    expected_blocks: int
    prompt_tokens: int
    nominal_queue_seconds: float
    source: requests.Source
    record_age: float
    dispatched_at: float
    first_token_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Results of attempts.

    `late` counts events of attempts that are unknown or have ended. `expected_pieces` and
    `cached_pieces` are numbers of cached blocks, as expected and as reported by the upstreams.
    """

    late: int = 0
    failed: int = 0
    expected_pieces: int = 0
    cached_pieces: int = 0


class Attempts:
    """Attempts in progress by ID; later events of an ended attempt are only counted.

    Parameters
    ----------
    states
        The upstreams by name; a mapping that the router updates in place.
    recent, cache_index
        Both are updated from the cached tokens that responses report, `recent` also from
        dispatches, first tokens and failures.
    """

    __slots__ = ("_states", "_recent_prefixes", "_index", "_attempts", "_ids", "counters")

    def __init__(
        self,
        states: Mapping[str, placement.State],
        recent: recent_prefixes.RecentPrefixes,
        cache_index: index.CacheIndex,
    ) -> None:
        self._states = states
        self._recent_prefixes = recent
        self._index = cache_index
        self._attempts: dict[int, _Attempt] = {}
        self._ids = itertools.count(1)
        self.counters = Counters()

    def __len__(self) -> int:
        return len(self._attempts)

    def dispatched(self, request: requests.RouteRequest, route: requests.Route, now: float) -> int:
        """Start tracking a new attempt and return its ID."""
        attempt_id = next(self._ids)
        hashes = request.chain.hashes
        expected = route.expected_cached_tokens // prompt_blocks.BLOCK_TOKENS
        state = self._states.get(route.upstream)
        if len(self._attempts) >= MAX_ATTEMPTS:
            self._remove(next(iter(self._attempts)))
        self._attempts[attempt_id] = _Attempt(
            route.upstream,
            route.incarnation,
            request.chain,
            expected,
            request.prompt_tokens,
            state.load.nominal_queue_seconds(now) if state else 0.0,
            route.source,
            self._recent_prefixes.record_age(route.upstream, hashes, expected, now),
            now,
        )
        self.counters.expected_pieces += expected
        if state is not None:
            uncached = request.prompt_tokens - route.expected_cached_tokens
            state.load.dispatched(attempt_id, uncached, request.prompt_tokens, now)
            state.health.dispatched(attempt_id)
            self._recent_prefixes.record(route.upstream, route.incarnation, hashes, now)
        return attempt_id

    def first_token(self, attempt_id: int, now: float) -> None:
        """Record the first token of an attempt; its upstream has now cached the whole chain."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.first_token_seconds:
            self.counters.late += attempt is None
            return
        attempt.first_token_seconds = now - attempt.dispatched_at
        state = self._states.get(attempt.upstream)
        if state is None or state.incarnation != attempt.incarnation:
            return
        state.load.first_token(attempt_id, now)
        self._recent_prefixes.record(
            attempt.upstream, attempt.incarnation, attempt.chain.hashes, now
        )

    def finished(self, attempt_id: int, cached_tokens: int | None, now: float) -> None:
        """Record the end of an attempt and update the estimates from its result."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and cached_tokens is not None:
            self._update_estimates(attempt_id, attempt, cached_tokens, now)
        self._remove(attempt_id)
        if attempt is None or cached_tokens is None:
            return
        cached = cached_tokens // prompt_blocks.BLOCK_TOKENS
        self.counters.cached_pieces += cached
        match attempt.source:
            case requests.Source.INDEX:
                self._index.check_response(attempt.upstream, attempt.expected_blocks, cached)
            case requests.Source.MEMORY:
                still_cached = cached >= attempt.expected_blocks
                self._recent_prefixes.update_retention(
                    attempt.upstream, attempt.record_age, still_cached
                )

    def failed(self, attempt_id: int, now: float, lost: bool) -> None:
        """Record the failure of an attempt.

        Parameters
        ----------
        attempt_id
            ID of the attempt.
        now
            Current time in seconds.
        lost
            Whether the connection failed or was closed early. The upstream may then have restarted,
            so that all its recorded prefixes become invalid. False if a running upstream refused
            the request; only the records of the blocks that it was not expected to have cached are
            removed.
        """
        attempt = self._remove(attempt_id, now)
        if attempt is None:
            return
        self.counters.failed += 1
        if lost:
            self._recent_prefixes.invalidate(attempt.upstream, now)
            return
        self._recent_prefixes.remove(
            attempt.upstream, attempt.chain.hashes[attempt.expected_blocks :]
        )

    def _update_estimates(
        self, attempt_id: int, attempt: _Attempt, cached_tokens: int, now: float
    ) -> None:
        state = self._states.get(attempt.upstream)
        if (
            state is None
            or state.incarnation != attempt.incarnation
            or not attempt.first_token_seconds
        ):
            return
        uncached = max(0, attempt.prompt_tokens - cached_tokens)
        expected = attempt.nominal_queue_seconds + uncached / state.load.prefill_tokens_per_second
        state.load.update_slowdown(attempt.first_token_seconds, expected, now)
        state.health.first_token(attempt_id, attempt.first_token_seconds, expected, now)

    def _remove(self, attempt_id: int, failed_at: float | None = None) -> _Attempt | None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            self.counters.late += 1
            return None
        state = self._states.get(attempt.upstream)
        if state is None:
            return attempt
        state.load.discard(attempt_id)
        if failed_at is None:
            state.health.ended(attempt_id)
        else:
            state.health.failed(attempt_id, failed_at)
        return attempt
