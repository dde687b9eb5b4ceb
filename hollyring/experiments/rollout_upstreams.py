"""Simulated upstreams that execute orders in simulated time."""

from __future__ import annotations

import dataclasses

from hollyring.fleet import messages


@dataclasses.dataclass(slots=True)
class SimulatedUpstream:
    """An upstream that follows the order protocol, driven by the simulation's clock.

    Parameters
    ----------
    name
        Name of the upstream.
    checks_fencing
        Whether it rejects an order with an older fencing token than it has received.
    initial
        Versions by model that the upstream serves after a restart.
    incarnation
        Number of the upstream's current incarnation; increases with each restart.
    models
        Served versions by model.
    adapters
        Loaded adapters.
    role
        ``both``, ``prefill`` or ``decode``.
    leaving
        Whether the upstream is about to shut down.
    is_up
        Whether it is running.
    unavailable_until
        Time of the restart of a crashed upstream, or of the shutdown of a leaving one.
    loading
        The load in progress and the time of its completion.
    seen_ids
        IDs of all accepted orders of this incarnation.
    fencing
        Highest fencing token received by this incarnation.
    """

    name: str
    checks_fencing: bool
    initial: dict[str, str]
    incarnation: int = 1
    models: dict[str, str] = dataclasses.field(default_factory=dict)
    adapters: set[str] = dataclasses.field(default_factory=set)
    role: str = "both"
    leaving: bool = False
    is_up: bool = True
    unavailable_until: float = 0.0
    loading: tuple[messages.Change, float] | None = None
    seen_ids: set[str] = dataclasses.field(default_factory=set)
    fencing: int = 0

    def crash(self) -> None:
        """Stop the upstream and abort its load."""
        self.is_up = False
        self.loading = None

    def restart(self) -> None:
        """Start a new incarnation, which serves the initial models."""
        self.is_up = True
        self.leaving = False
        self.incarnation += 1
        self.models = dict(self.initial)
        self.adapters = set()
        self.role = "both"
        self.seen_ids = set()
        self.fencing = 0

    def advance(self, now: float) -> None:
        """Complete the load in progress if it is due."""
        if self.loading is None or now < self.loading[1]:
            return
        match self.loading[0]:
            case messages.LoadModel(model, version):
                self.models[model] = version
            case messages.LoadAdapter(adapter):
                self.adapters.add(adapter)
        self.loading = None

    def state(self, now: float) -> messages.UpstreamState:
        """Return the state that the upstream reports."""
        served = [messages.ModelVersion(*entry) for entry in sorted(self.models.items())]
        adapters = sorted(self.adapters)
        return messages.UpstreamState(
            self.name, self.incarnation, served, adapters, self.role, self.leaving, now
        )

    def execute(self, order: messages.Order, now: float, seconds: float) -> messages.Outcome:
        """Execute `order`; a load takes `seconds`."""
        if self.checks_fencing and order.fencing < self.fencing:
            return messages.Outcome.STALE_FENCING
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id in self.seen_ids:
            return messages.Outcome.ACCEPTED
        self.seen_ids.add(order.order_id)
        match order.change:
            case messages.LoadModel(model, _):
                self.models.pop(model, None)
                self.loading = (order.change, now + seconds)
            case messages.LoadAdapter():
                self.loading = (order.change, now + seconds)
            case messages.UnloadAdapter(adapter):
                self.adapters.discard(adapter)
            case messages.SetRole(role):
                self.role = role
        return messages.Outcome.ACCEPTED
