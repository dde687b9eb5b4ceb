"""Bounds in time and number that a rollout relies on."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Bounds that a rollout relies on.

    Parameters
    ----------
    weights_concurrency
        Loads at once that the weight store serves at full speed.
    weights_seconds
        The longest load at that concurrency.
    lease_seconds
        Life of the lease whose holder gives orders.
    flight_seconds
        The longest time from the start of sending an order to its arrival; the sender closes
        the connection then.
    report_lag_seconds
        The greatest age of a state when it is observed.
    report_timeout_seconds
        An upstream not heard for so long is neither counted as serving nor given orders.
    retry_seconds
        Wait before an order that was not sent is given again.
    send_seconds
        A given order that was not begun to be sent for so long is dropped.
    loads_shown
        Whether states show that an order is being carried out, so that a new holder counts the
        last one's loads and need not wait for the longest.
    blocked_seconds
        An upstream that would be the last to serve a model is loaded all the same after so long:
        nobody else serves it, and the old weights have to go.
    """

    weights_concurrency: int = 2
    weights_seconds: float = 15.0
    lease_seconds: float = 10.0
    flight_seconds: float = 2.0
    report_lag_seconds: float = 2.0
    report_timeout_seconds: float = 10.0
    retry_seconds: float = 1.0
    send_seconds: float = 0.5
    loads_shown: bool = False
    blocked_seconds: float = float("inf")

    @property
    def arrival_seconds(self) -> float:
        """The longest time from giving an order to its arrival."""
        return self.send_seconds + self.flight_seconds

    @property
    def order_seconds(self) -> float:
        """The longest time from giving an order until a state that is heard shows its effect."""
        return self.arrival_seconds + self.weights_seconds + self.report_lag_seconds


def with_concurrency(pace: Pace, loads: int) -> Pace:
    """Return `pace` with `loads` loads at once."""
    return dataclasses.replace(pace, weights_concurrency=loads)
