"""Errors of the stand-ins."""

from __future__ import annotations

from hollyring.core import errors


class StandInError(errors.HollyringError):
    """A request that a stand-in rejects, with the status and code of its error response."""

    def __init__(
        self,
        status: int,
        code: str,
        message: str = "",
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        super().__init__(message or code)
        self.status = status
        self.code = code
        self.headers = headers or []


class ConnectionAbortError(errors.HollyringError):
    """An injected fault requires the connection to be aborted without a response."""
