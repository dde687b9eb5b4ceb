"""Stand-in for the KV cache store and for the store from which engines load weights."""

from __future__ import annotations

import collections

import anyio

from hollyring.standins import asgi, errors


class CacheStore(asgi.StandIn):
    """Store of KV cache blocks with a limited capacity, and of model weights.

    Beyond the capacity, the least recently written block is removed.

    ``GET /weights/MODEL/VERSION`` responds after `weights_seconds`; while more than
    `weights_concurrency` loads run at once, the time grows in proportion to their number.
    Faults: ``slow`` (value: delay in seconds), ``outage`` (503), ``loss`` (a written block is not
    stored).
    """

    fault_kinds = frozenset({"slow", "outage", "loss"})

    def __init__(
        self,
        capacity: int = 100_000,
        weights_seconds: float = 2.0,
        weights_concurrency: int = 2,
        speed: float = 1.0,
    ) -> None:
        super().__init__()
        self._blocks: collections.OrderedDict[str, bytes] = collections.OrderedDict()
        self._capacity = capacity
        self._weights_seconds = weights_seconds / speed
        self._weights_concurrency = weights_concurrency
        self._concurrent_loads = 0

    async def handle(self, request: asgi.Request) -> None:
        """Serve a request of the store's protocol."""
        self.counters["writes" if request.method == "PUT" else "reads"] += 1
        if slow := self.active_fault("slow"):
            await anyio.sleep(slow.value)
        if self.active_fault("outage"):
            raise errors.StandInError(503, "unavailable")
        match request.method, request.path.split("/")[1:]:
            case "GET", ["blocks", name] if name in self._blocks:
                await request.respond(200, self._blocks[name])
            case "PUT", ["blocks", name]:
                self._put(name, request.body)
                await request.respond(200)
            case "GET", ["has"]:
                names = request.query.get("blocks", "").split(",")
                present = [name for name in names if name in self._blocks]
                await request.respond_json(200, {"present": present})
            case "GET", ["weights", _, _]:
                await self._load_weights()
                await request.respond(200)
            case _:
                raise errors.StandInError(404, "not_found", request.path)

    def loading_seconds(self, concurrent_loads: int) -> float:
        """Return the seconds that a load takes while `concurrent_loads` loads are running."""
        return self._weights_seconds * max(1.0, concurrent_loads / self._weights_concurrency)

    def _put(self, name: str, body: bytes) -> None:
        if self.active_fault("loss"):
            return
        self._blocks[name] = body
        self._blocks.move_to_end(name)
        if len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    async def _load_weights(self) -> None:
        self._concurrent_loads += 1
        self.counters["weights"] += 1
        self.counters["most_loading"] = max(self.counters["most_loading"], self._concurrent_loads)
        try:
            await anyio.sleep(self.loading_seconds(self._concurrent_loads))
        finally:
            self._concurrent_loads -= 1
