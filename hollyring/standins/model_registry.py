"""Loaded models of the inference server stand-in and the orders that change them."""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from hollyring.standins import errors


class ModelRegistry:
    """Models, adapters and role of an engine.

    When an order to load another version of a model arrives, the model is no longer served until
    the new weights are loaded; running requests continue.

    Parameters
    ----------
    models
        Initial version of each model.
    role
        Initial role.
    checks_fencing
        Whether an order is rejected if its fencing token is lower than the highest one received.
    load_weights
        Coroutine function that returns once the weights of a model and version are loaded.
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
        """Queue `order` unless it is a duplicate.

        Raises
        ------
        StandInError
            If the kind of the order is unknown, or if its fencing token is stale and this engine
            checks fencing tokens.
        """
        fencing = int(order.get("fencing", 0))
        if self._checks_fencing and fencing < self._highest_fencing:
            raise errors.StandInError(
                409, "stale_fencing", f"{fencing} after {self._highest_fencing}"
            )
        self._highest_fencing = max(self._highest_fencing, fencing)
        order_id = str(order.get("order_id", ""))
        if order_id in self._order_ids:
            return
        if order.get("kind") not in {"load_model", "load_adapter", "unload_adapter", "set_role"}:
            raise errors.StandInError(400, "unknown_order", str(order.get("kind")))
        self._order_ids.add(order_id)
        self.orders.append(order)
        if order["kind"] == "load_model":
            self.models.pop(order["model"], None)
        self._queue.append(order)
        self._order_arrived.set()

    async def run(self) -> None:
        """Execute queued orders sequentially until cancelled."""
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
