"""Admin port for operators: state dump, metrics and health check, apart from the callers' port."""

from __future__ import annotations

import hmac
import ipaddress
from collections.abc import Awaitable, Callable
from typing import Any

from hollyring.node import asgi, metrics

HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class AdminApp:
    """ASGI application of the admin port.

    Parameters
    ----------
    key
        Bearer token; if empty, only loopback addresses are authorized.
    dump
        Returns the state of the process, without secrets.
    ready
        Returns whether this VM serves callers.
    vm_metrics
        Counters and histograms of the VM.
    """

    __slots__ = ("_key", "_dump", "_ready", "_metrics")

    def __init__(
        self,
        key: str,
        dump: Callable[[], Awaitable[dict[str, Any]]],
        ready: Callable[[], bool],
        vm_metrics: metrics.Metrics,
    ) -> None:
        self._key = key
        self._dump = dump
        self._ready = ready
        self._metrics = vm_metrics

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Respond to one request."""
        if scope["type"] != "http":
            return
        if not self._is_authorized(scope):
            await asgi.respond_json(send, HTTP_UNAUTHORIZED, {"error": {"code": "admin_key"}})
            return
        match scope["method"], scope["path"]:
            case "GET", "/state":
                await asgi.respond_json(send, HTTP_OK, await self._dump())
            case "GET", "/metrics":
                page = self._metrics.render().encode()
                await asgi.respond(send, HTTP_OK, page, [asgi.TEXT_TYPE])
            case "GET", "/ready":
                ready = self._ready()
                status = HTTP_OK if ready else HTTP_UNAVAILABLE
                await asgi.respond_json(send, status, {"ready": ready})
            case _:
                await asgi.respond_json(send, HTTP_NOT_FOUND, {"error": {"code": "not_found"}})

    def _is_authorized(self, scope: asgi.Scope) -> bool:
        if not self._key:
            client = scope.get("client")
            return client is not None and ipaddress.ip_address(client[0]).is_loopback
        token = asgi.header(scope, b"authorization").removeprefix("Bearer ")
        return hmac.compare_digest(token.encode(), self._key.encode())
