"""What is known about whether a request was run by an upstream."""

from __future__ import annotations

import enum


class Execution(enum.StrEnum):
    """Whether a request ran.

    `NOT_RUN` is claimed only where no byte of the request can have reached an upstream.
    """

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"
