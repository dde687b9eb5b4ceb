"""Cost terms for the selection of an upstream, in seconds."""

from __future__ import annotations

import math

from hollyring.configuration import deployment
from hollyring.core import rendezvous, request_types
from hollyring.routing import registry

LATE_MIDPOINT = 1.2
"""Expected time, in multiples of the target, at which half of the responses are late."""

LATE_WIDTH = 0.3
"""Width of the logistic function around `LATE_MIDPOINT`, in multiples of the target."""

FAILURE_PENALTY_SECONDS = 0.6
"""Penalty for one recent failure."""

UNAVAILABLE_MODEL_PENALTY_SECONDS = 5.0
"""Penalty for a server that is loading weights or lacks the model; the highest penalty."""

SUSPECT_PENALTY_SECONDS = 1.5
"""Penalty for a suspect server, lower than the cost of a long queue at another one."""

SILENCE_PENALTY_SECONDS = 0.7
"""Penalty for a silent server, lower than the cost of a long queue at another one."""

TIE_BREAK_SECONDS = 0.015
"""Largest cost added to choose among servers of otherwise equal cost."""

DECODE_STEP_SECONDS = 0.004
"""Duration of a decode step, which yields one token per response, without concurrent prefill."""

PREFILL_STEP_FACTOR = 3.0
"""Time that continuous prefill adds to a decode step, as a multiple of `DECODE_STEP_SECONDS`."""

INTERFERENCE_WEIGHT = 0.5
"""Weight in the cost of the delay that prefill and long responses cause each other."""

QUEUEING_RATIO = 1.0
"""Ratio of requests to slots above which a server queues requests."""

LONG_RESPONSE_TOKENS = 120
"""Likely number of output tokens above which a response is long."""

MIN_RETRY_SECONDS = 0.2
BACKOFF_RETRY_SPREAD_SECONDS = 0.5
"""Time after the end of a backoff over which rejected callers return."""

RETRY_JITTER = 1.0
"""Jitter as a share of the retry delay, so that rejected callers do not retry together."""

EXPONENT_LIMIT = 30.0
"""Limit of the exponent that prevents a floating-point overflow."""


def call_seconds(upstream: registry.Upstream, load: registry.TotalLoad, now: float) -> float:
    """Return the expected time of a call to a service that is not an inference server."""
    queue_ratio = load.requests / max(1, upstream.entry.slots)
    return upstream.call_seconds * upstream.slowdown(now) * (1.0 + queue_ratio)


def queue_seconds(
    load: registry.TotalLoad, tokens_per_second: float, slowdown: float, engine: deployment.Engine
) -> float:
    """Return the expected queueing time of a request at an inference server before its prefill."""
    seconds = load.queued_prefill_tokens / tokens_per_second * slowdown
    excess = load.requests - QUEUEING_RATIO * max(1, engine.slots)
    return seconds + max(0.0, excess) / max(1, engine.slots) * slowdown


def penalty(upstream: registry.Upstream, now: float) -> float:
    """Return the penalty for the failures and the state of an upstream."""
    seconds = upstream.failure_score(now) * FAILURE_PENALTY_SECONDS
    if upstream.is_loading(now):
        seconds += UNAVAILABLE_MODEL_PENALTY_SECONDS
    if upstream.is_suspect(now):
        seconds += SUSPECT_PENALTY_SECONDS
    if upstream.silent_seconds(now) > registry.SILENCE_THRESHOLD_SECONDS:
        seconds += SILENCE_PENALTY_SECONDS
    return seconds


def retry_after_seconds(request_id: str, excess_seconds: float, max_wait_seconds: float) -> float:
    """Return the retry delay of a rejected request, with jitter.

    Parameters
    ----------
    request_id
        ID of the request, from which the jitter is derived.
    excess_seconds
        Time by which the expected wait or time to first event exceeds its limit.
    max_wait_seconds
        Longest acceptable wait.
    """
    seconds = max(MIN_RETRY_SECONDS, excess_seconds + max_wait_seconds / 2)
    return seconds * (1.0 + RETRY_JITTER * _retry_fraction(request_id))


def backoff_retry_seconds(request_id: str, backoff_seconds: float) -> float:
    """Return the retry delay of a request rejected during a backoff that lasts so much longer."""
    return backoff_seconds + BACKOFF_RETRY_SPREAD_SECONDS * _retry_fraction(request_id)


def _retry_fraction(request_id: str) -> float:
    """Return a fraction that spreads the retries of different requests."""
    return rendezvous.weight(request_id.encode(), "retry") / 2.0**64


def late_fraction(expected_seconds: float, target_seconds: float) -> float:
    """Return the fraction of responses expected after `expected_seconds` that will be late.

    Examples
    --------
    >>> round(late_fraction(0.12, 0.1), 2), late_fraction(0.01, 0.1) < 0.05
    (0.5, True)
    """
    exponent = (expected_seconds / max(target_seconds, 1e-3) - LATE_MIDPOINT) / LATE_WIDTH
    return 1.0 / (1.0 + math.exp(-max(-EXPONENT_LIMIT, min(EXPONENT_LIMIT, exponent))))


def is_long(prompt: request_types.Prompt | None) -> bool:
    """Return whether the response is likely to be long."""
    return prompt is not None and prompt.expected_output_tokens > LONG_RESPONSE_TOKENS


def interference_seconds(
    load: registry.TotalLoad,
    tokens_per_second: float,
    prefill_tokens: int,
    prompt: request_types.Prompt,
) -> float:
    """Return the cost of interference between prefill and the decoding of long responses.

    A server interleaves prefill with the decode steps of running responses. The cost therefore
    directs prompts to servers with few long responses, and long responses to servers with little
    prefill.
    """
    prefill_seconds = prefill_tokens / tokens_per_second
    seconds = prefill_seconds * load.long_responses
    if is_long(prompt):
        utilisation = min(1.0, load.prefill_rate / tokens_per_second)
        seconds += (
            prompt.expected_output_tokens * DECODE_STEP_SECONDS * PREFILL_STEP_FACTOR * utilisation
        )
    return INTERFERENCE_WEIGHT * seconds


def tie_break_seconds(request_id: str, prompt: request_types.Prompt | None, upstream: str) -> float:
    """Return a small cost from a rendezvous hash, so that all VMs choose alike among equals."""
    key = request_id
    if prompt is not None and prompt.shared_parts:
        key = prompt.shared_parts[-1].name
    return rendezvous.weight(key.encode(), upstream) / 2.0**64 * TIE_BREAK_SECONDS
