"""What a language server stand-in has loaded, and the orders that change it."""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from hollyring.standins import errors


class ModelRegistry:
    """Models, adapters and role of an engine.

    A model is out of service from the order that loads another version until its weights are
    there; requests under way go on.

    Parameters
    ----------
    models
        Versions by model at the start.
    role
        Role at the start.
    checks_fencing
        Refuse an order whose fencing number is below one seen before.
    load
        Waits for the weights of a model and version.
    """

    def __init__(
        self,
        models: dict[str, str],
        role: str,
        checks_fencing: bool,
        load_weights: Callable[[str, str], Awaitable[None]],
    ) -> None:
        self.models = dict(models)
        self.adapters: set[str] = set()
        self.role = role
        self.orders: list[dict[str, Any]] = []
        self._checks_fencing = checks_fencing
        self._load_weights = load_weights
        self._highest_fencing = 0
        self._order_ids: set[str] = set()
        self._queue: collections.deque[dict[str, Any]] = collections.deque()
        self._order_arrived = anyio.Event()

    def accept_order(self, order: dict[str, Any]) -> None:
        """Take `order`, unless it is stale or a repeat.

        Raises
        ------
        StandinError
            If the order's fencing number is stale and this engine checks.
        """
        fencing = int(order.get("fencing", 0))
        if self._checks_fencing and fencing < self._highest_fencing:
            raise errors.StandinError(
                409, "stale_fencing", f"{fencing} after {self._highest_fencing}"
            )
        self._highest_fencing = max(self._highest_fencing, fencing)
        order_id = str(order.get("order_id", ""))
        if order_id in self._order_ids:
            return
        if order.get("kind") not in {"load_model", "load_adapter", "unload_adapter", "set_role"}:
            raise errors.StandinError(400, "unknown_order", str(order.get("kind")))
        self._order_ids.add(order_id)
        self.orders.append(order)
        if order["kind"] == "load_model":
            self.models.pop(order["model"], None)
        self._queue.append(order)
        self._order_arrived.set()

    async def run(self) -> None:
        """Carry out orders one after the other."""
        while True:
            while not self._queue:
                self._order_arrived = anyio.Event()
                await self._order_arrived.wait()
            order = self._queue.popleft()
            match order["kind"]:
                case "load_model":
                    await self._load_weights(order["model"], order["version"])
                    self.models[order["model"]] = order["version"]
                case "load_adapter":
                    await self._load_weights(order["adapter"], "")
                    self.adapters.add(order["adapter"])
                case "unload_adapter":
                    self.adapters.discard(order["adapter"])
                case "set_role":
                    self.role = order["role"]
