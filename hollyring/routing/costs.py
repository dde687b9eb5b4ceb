"""What counts against an upstream for one request, in seconds."""

from __future__ import annotations

import math

from hollyring.configuration import deployment
from hollyring.core import rendezvous, request_types
from hollyring.routing import registry

LATE_MIDPOINT = 1.2
LATE_WIDTH = 0.3
"""Where, in targets, half of the answers are expected to be late, and how fast that share grows."""

FAILURE_PENALTY_SECONDS = 0.6
"""Time that one recent failure counts for."""

AVOID_PENALTY_SECONDS = 5.0
"""Time that a server counts for that takes new weights or serves none: it is the last choice."""

SUSPECT_PENALTY_SECONDS = 1.5
SILENCE_PENALTY_SECONDS = 0.7
"""Time that a doubted and a silent server count for: a long queue elsewhere is worse."""

TIE_BREAK_SECONDS = 0.015
"""Most that the same prompt prefers one server to another, other things being equal."""

DECODE_STEP_SECONDS = 0.004
"""Time in which a server that reads nothing gives every running answer a token."""

PREFILL_STEP_FACTOR = 3.0
"""A server that reads without a pause takes this many times longer for a step."""

INTERFERENCE_WEIGHT = 0.5
"""Part of the time that long answers are delayed by which counts against a place."""

FULL_FACTOR = 1.0
"""A server with this many times its slots in requests is full."""

LONG_RESPONSE_TOKENS = 120
"""Answers that are likely to have more tokens than this are long."""

MIN_RETRY_SECONDS = 0.2
RETRY_JITTER = 1.0
"""Callers that are refused together come back over this share of their wait."""

EXPONENT_LIMIT = 30.0
"""Keeps the exponential function in its range."""


def call_seconds(upstream: registry.Upstream, now: float) -> float:
    """Return the expected time of a call to a plain service."""
    queue_ratio = upstream.requests(now) / max(1, upstream.entry.slots)
    return upstream.call_seconds * upstream.slowdown(now) * (1.0 + queue_ratio)


def queue_seconds(upstream: registry.Upstream, engine: deployment.Engine, now: float) -> float:
    """Return how long a request waits at a language server before its prompt is read."""
    slowdown = upstream.slowdown(now)
    seconds = upstream.queued_prefill_tokens(now) / registry.PREFILL_TOKENS_PER_SECOND * slowdown
    excess = upstream.requests(now) - FULL_FACTOR * max(1, engine.slots)
    return seconds + max(0.0, excess) / max(1, engine.slots) * slowdown


def penalty(upstream: registry.Upstream, now: float) -> float:
    """Return what an upstream's failures and its state count for, in seconds."""
    seconds = upstream.failure_score(now) * FAILURE_PENALTY_SECONDS
    if upstream.is_loading(now):
        seconds += AVOID_PENALTY_SECONDS
    if upstream.is_suspect(now):
        seconds += SUSPECT_PENALTY_SECONDS
    if upstream.silent_seconds(now) > registry.SILENCE_THRESHOLD_SECONDS:
        seconds += SILENCE_PENALTY_SECONDS
    return seconds


def retry_after_seconds(request_id: str, excess_seconds: float, max_wait_seconds: float) -> float:
    """Return when a refused request may come back, later for some than for others.

    Parameters
    ----------
    request_id
        Its name, by which callers that are refused together are spread.
    excess_seconds
        Seconds by which the wait is too long.
    max_wait_seconds
        The longest wait that is not.
    """
    fraction = rendezvous.weight(request_id.encode(), "retry") / 2.0**64
    seconds = max(MIN_RETRY_SECONDS, excess_seconds + max_wait_seconds / 2)
    return seconds * (1.0 + RETRY_JITTER * fraction)


def late_fraction(expected_seconds: float, target_seconds: float) -> float:
    """Return which part of the answers expected after `expected_seconds` seconds is late.

    Examples
    --------
    >>> round(late_fraction(0.12, 0.1), 2), late_fraction(0.01, 0.1) < 0.05
    (0.5, True)
    """
    exponent = (expected_seconds / max(target_seconds, 1e-3) - LATE_MIDPOINT) / LATE_WIDTH
    return 1.0 / (1.0 + math.exp(-max(-EXPONENT_LIMIT, min(EXPONENT_LIMIT, exponent))))


def is_long(prompt: request_types.Prompt | None) -> bool:
    """Tell whether the answer is long."""
    return prompt is not None and prompt.expected_output_tokens > LONG_RESPONSE_TOKENS


def interference_seconds(
    upstream: registry.Upstream, prefill_tokens: int, prompt: request_types.Prompt, now: float
) -> float:
    """Return what reading and long answers at one server cost each other, in seconds.

    A server reads prompts between the steps of running answers. So prompts go where few long
    answers run, and long answers where little is read.
    """
    prefill_seconds = prefill_tokens / registry.PREFILL_TOKENS_PER_SECOND
    seconds = prefill_seconds * upstream.total_long_responses(now)
    if is_long(prompt):
        utilisation = min(1.0, upstream.prefill_rate(now) / registry.PREFILL_TOKENS_PER_SECOND)
        seconds += (
            prompt.expected_output_tokens * DECODE_STEP_SECONDS * PREFILL_STEP_FACTOR * utilisation
        )
    return INTERFERENCE_WEIGHT * seconds


def tie_break_seconds(request_id: str, prompt: request_types.Prompt | None, upstream: str) -> float:
    """Return a small difference by which all VMs prefer the same servers for the same prompt."""
    key = request_id
    if prompt is not None and prompt.shared_parts:
        key = prompt.shared_parts[-1].name
    return rendezvous.weight(key.encode(), upstream) / 2.0**64 * TIE_BREAK_SECONDS
