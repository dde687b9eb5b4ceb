"""What counts against an upstream for one request, in seconds."""

from __future__ import annotations

import math

from hollyring.configuration import deployment
from hollyring.core import rendezvous, request_types
from hollyring.routing import serving

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

MIN_RETRY_SECONDS = 0.2
RETRY_SPREAD = 1.0
"""Callers that are refused together come back over this share of their wait."""

LATE_LIMIT = 30.0
"""Keeps the exponential function in its range."""


def plain_seconds(upstream: serving.Upstream, now: float) -> float:
    """Return the expected time of a call to a plain service."""
    rounds = upstream.requests(now) / max(1, upstream.entry.slots)
    return upstream.plain_seconds * upstream.pace(now) * (1.0 + rounds)


def queue_seconds(upstream: serving.Upstream, engine: deployment.Engine, now: float) -> float:
    """Return how long a request waits at a language server before its prompt is read."""
    pace = upstream.pace(now)
    seconds = upstream.unread_tokens(now) / serving.TOKENS_PER_SECOND * pace
    over = upstream.requests(now) - FULL_FACTOR * max(1, engine.slots)
    return seconds + max(0.0, over) / max(1, engine.slots) * pace


def penalty(upstream: serving.Upstream, now: float) -> float:
    """Return what an upstream's failures and its state count for, in seconds."""
    seconds = upstream.failure_level(now) * FAILURE_SECONDS
    if upstream.loading(now):
        seconds += AVOID_SECONDS
    if upstream.doubted(now):
        seconds += DOUBT_SECONDS
    if upstream.silent_seconds(now) > serving.MIN_SILENCE_SECONDS:
        seconds += SILENCE_SECONDS
    return seconds


def retry_seconds(request: str, over: float, most_wait: float) -> float:
    """Return when a refused request may come back, later for some than for others.

    Parameters
    ----------
    request
        Its name, by which callers that are refused together are spread.
    over
        Seconds by which the wait is too long.
    most_wait
        The longest wait that is not.
    """
    fraction = rendezvous.weight(request.encode(), "retry") / 2.0**64
    seconds = max(MIN_RETRY_SECONDS, over + most_wait / 2)
    return seconds * (1.0 + RETRY_SPREAD * fraction)


def late_part(expected: float, target: float) -> float:
    """Return which part of the answers expected after `expected` seconds is late.

    Examples
    --------
    >>> round(late_part(0.12, 0.1), 2), late_part(0.01, 0.1) < 0.05
    (0.5, True)
    """
    beyond = (expected / max(target, 1e-3) - LATE_CENTRE) / LATE_WIDTH
    return 1.0 / (1.0 + math.exp(-max(-LATE_LIMIT, min(LATE_LIMIT, beyond))))


def is_long(prompt: request_types.Prompt | None) -> bool:
    """Tell whether the answer is long."""
    return prompt is not None and prompt.expected_output_tokens > LONG_TOKENS


def harm(
    upstream: serving.Upstream, unread_tokens: int, prompt: request_types.Prompt, now: float
) -> float:
    """Return what reading and long answers at one server cost each other, in seconds.

    A server reads prompts between the steps of running answers. So prompts go where few long
    answers run, and long answers where little is read.
    """
    reading = unread_tokens / serving.TOKENS_PER_SECOND
    seconds = reading * upstream.all_long_answers(now)
    if is_long(prompt):
        busy = min(1.0, upstream.reading(now) / serving.TOKENS_PER_SECOND)
        seconds += prompt.expected_output_tokens * STEP_SECONDS * STEP_FACTOR * busy
    return HARM_SHARE * seconds


def spread(request: str, prompt: request_types.Prompt | None, upstream: str) -> float:
    """Return a small difference by which all VMs prefer the same servers for the same prompt."""
    key = request
    if prompt is not None and prompt.shared_parts:
        key = prompt.shared_parts[-1].name
    return rendezvous.weight(key.encode(), upstream) / 2.0**64 * SPREAD_SECONDS
