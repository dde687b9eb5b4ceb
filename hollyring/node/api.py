"""HTTP API of the callers' port: dispatch of requests to their handlers."""

from __future__ import annotations

import urllib.parse
from collections.abc import MutableMapping
from typing import Any

from hollyring.delivery import refusal
from hollyring.node import (
    actor,
    asgi,
    auth,
    completion_writer,
    completions,
    logs,
    membership_actor,
    services,
    vm,
)

HTTP_OK = 200


class Application:
    """ASGI application of the callers' port."""

    __slots__ = ("_vm", "_open_requests", "_log")

    def __init__(self, this_vm: vm.VM) -> None:
        self._vm = this_vm
        self._open_requests = 0
        self._log = logs.Logger("front")

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return self._open_requests

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        self._open_requests += 1
        self._vm.metrics.increment("requests")
        started = False

        async def tracking_send(message: MutableMapping[str, Any]) -> None:
            nonlocal started
            started = True
            await send(message)

        try:
            await self._dispatch(scope, receive, tracking_send)
        except actor.OverloadedError:
            self._vm.metrics.increment("overloaded_parts")
            if not started:
                await completion_writer.refuse(
                    send, refusal.make("overloaded").with_unknown_execution()
                )
        except Exception:
            self._log.exception("request failed", path=scope["path"])
            self._vm.metrics.increment("internal_errors")
            if not started:
                await completion_writer.refuse(send, refusal.make("internal_error"))
        finally:
            self._open_requests -= 1

    async def _dispatch(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        this_vm = self._vm
        match scope["method"], scope["path"]:
            case "POST", "/v1/chat/completions":
                await completions.serve(this_vm, scope, receive, send, chat=True)
            case "POST", "/v1/completions":
                await completions.serve(this_vm, scope, receive, send, chat=False)
            case "GET", "/v1/models":
                await _models(this_vm, scope, send)
            case "GET", "/v1/entry":
                await _entry(this_vm, scope, send)
            case _:
                await services.serve(this_vm, scope, receive, send)


async def _models(this_vm: vm.VM, scope: asgi.Scope, send: asgi.Send) -> None:
    configuration = this_vm.configuration.current
    caller = auth.authenticate(scope, configuration)
    if isinstance(caller, refusal.Refusal):
        await completion_writer.refuse(send, caller)
        return
    models = [
        {"id": model.name, "object": "model", "created": 0, "owned_by": "hollyring"}
        for model in configuration.models.values()
        if auth.permits(caller, model.name)
    ]
    await asgi.respond_json(send, HTTP_OK, {"object": "list", "data": models})


async def _entry(this_vm: vm.VM, scope: asgi.Scope, send: asgi.Send) -> None:
    """Respond with the VMs for the caller, preferred first, and how long it may cache them."""
    query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
    caller = membership_actor.entry_caller(
        scope.get("client"), query.get("failure_domain", ""), query.get("region", "")
    )
    entry_points = await this_vm.membership.choose_entry_points(caller)
    vms = [
        {
            "name": item.name,
            "address": item.address,
            "failure_domain": item.failure_domain,
            "region": item.region,
        }
        for item in entry_points.vms
    ]
    cache_control = (b"cache-control", f"max-age={int(entry_points.ttl_seconds)}".encode())
    body = {"vms": vms, "keep_seconds": entry_points.ttl_seconds}
    await asgi.respond_json(send, HTTP_OK, body, [cache_control])
