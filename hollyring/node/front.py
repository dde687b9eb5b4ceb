"""The callers' port: which request goes where."""

from __future__ import annotations

from hollyring.delivery import refusal
from hollyring.node import asgi, completions, outlets, rights, services, vm

HTTP_OK = 200


class Front:
    """ASGI application of the callers' port."""

    __slots__ = ("_node", "_open")

    def __init__(self, node: vm.VM) -> None:
        self._node = node
        self._open = 0

    @property
    def open_requests(self) -> int:
        """Requests that are being answered."""
        return self._open

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        self._open += 1
        self._node.metrics.count("requests")
        try:
            await self._answer(scope, receive, send)
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
