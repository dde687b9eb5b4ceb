"""Errors of the stand-ins."""

from __future__ import annotations

from hollyring.core import errors


class StandinError(errors.HollyringError):
    """A call that a stand-in refuses, with the status and code it answers."""

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
    """The stand-in cuts the connection without an answer, as a fault asks."""
