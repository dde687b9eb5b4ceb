"""Encoding of HTTP/1.1 requests."""

from __future__ import annotations

from collections.abc import Iterable

from hollyring.core import request_types

METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE")


def encode(
    method: bytes,
    target: bytes,
    host: bytes,
    headers: Iterable[request_types.Header] = (),
    body: bytes = b"",
) -> bytes:
    """Return an encoded request, with ``Content-Length`` if it may have a body.

    Examples
    --------
    >>> encode(b"GET", b"/load", b"10.0.0.1:80")
    b'GET /load HTTP/1.1\\r\\nHost: 10.0.0.1:80\\r\\n\\r\\n'
    """
    lines = [b"%b %b HTTP/1.1" % (method, target), b"Host: " + host]
    lines += [b"%b: %b" % header for header in headers]
    if body or method not in METHODS_WITHOUT_BODY:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def address_of(url: str) -> str:
    """Return the ``"IP:PORT"`` of a URL that has no path.

    Examples
    --------
    >>> address_of("http://10.0.0.1:80/")
    '10.0.0.1:80'
    """
    return url.removeprefix("http://").rstrip("/")
