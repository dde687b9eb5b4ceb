"""Bounds in time and number that a rollout relies on."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Bounds that a rollout relies on.

    Parameters
    ----------
    weights_concurrency
        Loads at once that the weight store serves at full speed.
    weights_seconds
        The longest load at that concurrency.
    lease_seconds
        Life of the lease whose holder gives orders.
    delivery_timeout_seconds
        The longest time from the start of sending an order to its arrival; the sender closes
        the connection then.
    report_lag_seconds
        The greatest age of a state when it is observed.
    report_timeout_seconds
        An upstream not heard for so long is neither counted as serving nor given orders.
    retry_seconds
        Wait before an order that was not sent is given again.
    send_timeout_seconds
        A given order that was not begun to be sent for so long is dropped.
    reports_show_loads
        Whether states show that an order is being carried out, so that a new holder counts the
        last one's loads and need not wait for the longest.
    max_blocked_seconds
        An upstream that would be the last to serve a model is loaded all the same after so long:
        nobody else serves it, and the old weights have to go.
    """

    weights_concurrency: int = 2
    weights_seconds: float = 15.0
    lease_seconds: float = 10.0
    delivery_timeout_seconds: float = 2.0
    report_lag_seconds: float = 2.0
    report_timeout_seconds: float = 10.0
    retry_seconds: float = 1.0
    send_timeout_seconds: float = 0.5
    reports_show_loads: bool = False
    max_blocked_seconds: float = float("inf")

    @property
    def arrival_seconds(self) -> float:
        """The longest time from giving an order to its arrival."""
        return self.send_timeout_seconds + self.delivery_timeout_seconds

    @property
    def order_seconds(self) -> float:
        """The longest time from giving an order until a state that is heard shows its effect."""
        return self.arrival_seconds + self.weights_seconds + self.report_lag_seconds


def with_concurrency(limits: RolloutLimits, max_loads: int) -> RolloutLimits:
    """Return `limits` with `max_loads` loads at once."""
    return dataclasses.replace(limits, weights_concurrency=max_loads)
