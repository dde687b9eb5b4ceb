"""Whether an upstream executed a request."""

from __future__ import annotations

import enum


class Execution(enum.StrEnum):
    """Execution status of a request.

    `NOT_RUN` is reported only if no byte of the request can have reached an upstream, or if every
    upstream that received the request states that it did not execute it.
    """

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"
