"""Refusals: final answers with a stable code, an HTTP status and an execution status."""

from __future__ import annotations

import dataclasses

from hollyring.core import execution
from hollyring.delivery import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Properties shared by all refusals with one code.

    Parameters
    ----------
    code
        Stable name that a caller's program may compare.
    status
        HTTP status.
    execution
        Whether the request ran, as far as this is certain.
    retry_after
        Seconds after which the caller may retry; 0 if a retry does not help.
    message
        Short human-readable sentence.
    """

    code: str
    status: int
    execution: execution.Execution
    retry_after: float
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Final answer to a request that was not served, or not completely.

    See Also
    --------
    make : Create a refusal from the table `KINDS`.
    """

    code: str
    status: int
    execution: execution.Execution
    retry_after: float
    message: str

    def with_unknown_execution(self) -> Refusal:
        """Return this refusal with the execution status "not run" replaced by "unknown".

        When a duplicate of a call under an `Idempotency-Key` is refused early, this attempt did not
        run, but an earlier one under the same key may have.
        """
        if self.execution is not execution.Execution.NOT_RUN:
            return self
        return dataclasses.replace(self, execution=execution.Execution.UNKNOWN)


_NOT_RUN = execution.Execution.NOT_RUN
_RUN = execution.Execution.RUN
_UNKNOWN = execution.Execution.UNKNOWN

KINDS = {
    kind.code: kind
    for kind in (
        Kind("invalid_request", 400, _NOT_RUN, 0, "The request can't be read."),
        Kind("crashing_request", 400, _NOT_RUN, 0, "The request crashes the servers."),
        Kind("invalid_key", 401, _NOT_RUN, 0, "No valid key came with the request."),
        Kind("key_withdrawn", 401, _NOT_RUN, 0, "The key has been withdrawn."),
        Kind("key_withdrawn_midway", 401, _UNKNOWN, 0, "The key was withdrawn during the answer."),
        Kind("not_permitted", 403, _NOT_RUN, 0, "The organisation may not use this."),
        Kind("unknown_route", 404, _NOT_RUN, 0, "No route has this path."),
        Kind("unknown_model", 404, _NOT_RUN, 0, "No model in service has this name."),
        Kind("header_timeout", 408, _NOT_RUN, 1, "The request was sent too slowly."),
        Kind("resume_mismatch", 409, _UNKNOWN, 0, "The answer can't be resumed exactly."),
        Kind("outcome_unknown", 409, _UNKNOWN, 0, "Whether the call ran is not known."),
        Kind("call_in_progress", 409, _UNKNOWN, 1, "The first call under this key still runs."),
        Kind("answer_forgotten", 409, _RUN, 0, "The call ran; its answer is no longer kept."),
        Kind("idempotency_key_expired", 409, _UNKNOWN, 0, "The key is older than claims are kept."),
        Kind("idempotency_key_early", 400, _NOT_RUN, 0, "The key's time lies in the future."),
        Kind("prompt_too_long", 413, _NOT_RUN, 0, "The prompt is longer than allowed."),
        Kind("body_too_large", 413, _NOT_RUN, 0, "The body is larger than allowed."),
        Kind("idempotency_key_reused", 422, _NOT_RUN, 0, "The key belongs to another request."),
        Kind("rate_limited", 429, _NOT_RUN, 1, "The organisation's rate is used up."),
        Kind("too_many_connections", 429, _NOT_RUN, 1, "Too many connections are open."),
        Kind("headers_too_large", 431, _NOT_RUN, 0, "The header is larger than allowed."),
        Kind("cancelled", 499, _UNKNOWN, 0, "The caller gave the request up."),
        Kind("internal_error", 500, _UNKNOWN, 1, "The VM failed on this request."),
        Kind("upstream_unreachable", 502, _NOT_RUN, 1, "No upstream took the connection."),
        Kind("upstream_failed", 502, _UNKNOWN, 1, "The upstream failed during the request."),
        Kind("answer_too_long", 502, _RUN, 0, "The answer is longer than a VM keeps."),
        Kind("stream_interrupted", 502, _UNKNOWN, 1, "The answer could not be completed."),
        Kind("claims_unavailable", 503, _UNKNOWN, 2, "This attempt was not sent; repeat the key."),
        Kind("no_upstream", 503, _NOT_RUN, 1, "No upstream can serve this now."),
        Kind("overloaded", 503, _NOT_RUN, 1, "The deadline can't be met at this load."),
        Kind("leaving", 503, _NOT_RUN, 0, "The VM is leaving; use another."),
        Kind("caller_ended", 503, _NOT_RUN, 0, "The caller closed its sending side."),
        Kind("configuration_stale", 503, _NOT_RUN, 5, "The VM can't tell which keys are valid."),
        Kind("deadline_exceeded", 504, _UNKNOWN, 1, "The deadline passed before the answer."),
        Kind("deadline_not_sent", 504, _NOT_RUN, 1, "The deadline passed before dispatch."),
    )
}
"""All refusals that a caller can receive, by code."""


def make(
    code: str,
    retry_after: float | None = None,
    message: str = "",
    ran: execution.Execution | None = None,
) -> Refusal:
    """Create a refusal with the values of its entry in `KINDS`.

    Parameters
    ----------
    code
        Key of `KINDS`.
    retry_after
        Seconds that replace the entry's value, if a more precise one is available.
    message
        Detail that replaces the entry's message.
    ran
        Execution status that replaces the entry's; it may be "not run" only if the entry's is.

    Raises
    ------
    UnknownCodeError
        If `code` is not in `KINDS` or `ran` is not allowed for it.

    Examples
    --------
    >>> make("rate_limited", retry_after=2.5).retry_after
    2.5
    >>> make("outcome_unknown").execution
    <Execution.UNKNOWN: 'unknown'>
    """
    kind = KINDS.get(code)
    if kind is None:
        raise errors.UnknownCodeError(code)
    if ran is _NOT_RUN and kind.execution is not _NOT_RUN:
        raise errors.UnknownCodeError(f"refusal {code} does not allow the execution status not_run")
    return Refusal(
        kind.code,
        kind.status,
        kind.execution if ran is None else ran,
        kind.retry_after if retry_after is None else retry_after,
        message or kind.message,
    )
