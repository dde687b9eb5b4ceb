"""Time limits and concurrency limits of a rollout."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits that a rollout relies on.

    Parameters
    ----------
    weights_concurrency
        Number of concurrent loads that the weight store serves at full speed.
    weights_seconds
        Longest duration of a load at that concurrency.
    lease_seconds
        Duration of the lease whose holder issues orders.
    delivery_timeout_seconds
        Longest time from the start of sending an order to its arrival; the sender closes the
        connection after this time.
    report_lag_seconds
        Largest age of a state when it is observed.
    report_timeout_seconds
        Time without a report after which an upstream neither counts as serving nor receives
        orders.
    retry_seconds
        Delay before the retry of an order that was not sent or was refused with a conflict.
    send_timeout_seconds
        Time after which an issued order is dropped if the sending has not begun.
    reports_show_loads
        Whether states show that an order is in progress, so that a new lease holder counts the
        loads ordered by the previous one instead of waiting for the longest load.
    max_blocked_seconds
        Time after which a change is ordered although it leaves a required service
        (`hollyring.fleet.coverage.Service`) without an upstream, as no other upstream takes over
        and, for instance, the old weights have to be replaced.
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
        """Longest time from issuing an order to its arrival."""
        return self.send_timeout_seconds + self.delivery_timeout_seconds

    @property
    def order_seconds(self) -> float:
        """Longest time from issuing an order until an observed state shows its effect."""
        return self.arrival_seconds + self.weights_seconds + self.report_lag_seconds


def with_concurrency(limits: RolloutLimits, max_loads: int) -> RolloutLimits:
    """Return a copy of `limits` with another number of concurrent loads."""
    return dataclasses.replace(limits, weights_concurrency=max_loads)
