"""The callers' port: which request goes where."""

from __future__ import annotations

import urllib.parse
from collections.abc import MutableMapping
from typing import Any

from hollyring.delivery import refusal
from hollyring.node import (
    asgi,
    completions,
    logs,
    membership_part,
    outlets,
    part,
    rights,
    services,
    vm,
)

HTTP_OK = 200


class Front:
    """ASGI application of the callers' port."""

    __slots__ = ("_node", "_open", "_log")

    def __init__(self, node: vm.VM) -> None:
        self._node = node
        self._open = 0
        self._log = logs.Logger("front")

    @property
    def open_requests(self) -> int:
        """Requests that are being answered."""
        return self._open

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        self._open += 1
        self._node.metrics.increment("requests")
        started = False

        async def noting_send(message: MutableMapping[str, Any]) -> None:
            nonlocal started
            started = True
            await send(message)

        try:
            await self._answer(scope, receive, noting_send)
        except part.OverloadedError:
            self._node.metrics.increment("overloaded_parts")
            if not started:
                await outlets.refuse(send, refusal.make("overloaded").with_unknown_execution())
        except Exception:
            self._log.exception("request failed", path=scope["path"])
            self._node.metrics.increment("internal_errors")
            if not started:
                await outlets.refuse(send, refusal.make("internal_error"))
        finally:
            self._open -= 1

    async def _answer(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        node = self._node
        match scope["method"], scope["path"]:
            case "POST", "/v1/chat/completions":
                await completions.serve(node, scope, receive, send, chat=True)
            case "POST", "/v1/completions":
                await completions.serve(node, scope, receive, send, chat=False)
            case "GET", "/v1/models":
                await _models(node, scope, send)
            case "GET", "/v1/entry":
                await _entry(node, scope, send)
            case _:
                await services.serve(node, scope, receive, send)


async def _models(node: vm.VM, scope: asgi.Scope, send: asgi.Send) -> None:
    configuration = node.configuration.current
    caller = rights.authenticate(scope, configuration)
    if isinstance(caller, refusal.Refusal):
        await outlets.refuse(send, caller)
        return
    models = [
        {"id": model.name, "object": "model", "created": 0, "owned_by": "hollyring"}
        for model in configuration.models.values()
        if rights.permits(caller, model.name)
    ]
    await asgi.answer_json(send, HTTP_OK, {"object": "list", "data": models})


async def _entry(node: vm.VM, scope: asgi.Scope, send: asgi.Send) -> None:
    """Tell a caller which VMs to use, in order, and how long to keep the answer."""
    query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
    caller = membership_part.caller_of(
        scope.get("client"), query.get("failure_domain", ""), query.get("region", "")
    )
    found = await node.membership.advise(caller)
    vms = [
        {
            "name": item.name,
            "address": item.address,
            "failure_domain": item.failure_domain,
            "region": item.region,
        }
        for item in found.vms
    ]
    keep = (b"cache-control", f"max-age={int(found.ttl_seconds)}".encode())
    body = {"vms": vms, "keep_seconds": found.ttl_seconds}
    await asgi.answer_json(send, HTTP_OK, body, [keep])
