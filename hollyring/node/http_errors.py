"""What an HTTP client raises when a connection cannot be had or breaks off."""

from __future__ import annotations

import httpcore

HTTP_ERRORS = (
    OSError,  # a timeout of anyio is one too
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)
