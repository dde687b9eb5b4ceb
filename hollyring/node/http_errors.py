"""Exceptions that an HTTP client raises if a connection fails."""

from __future__ import annotations

import httpcore

HTTP_ERRORS = (
    OSError,  # includes TimeoutError, which anyio raises
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)
