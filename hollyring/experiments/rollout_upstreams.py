"""Fake upstreams that take orders, and a weight store that counts what loads at once."""

from __future__ import annotations

import dataclasses

from hollyring.fleet import messages


@dataclasses.dataclass(slots=True)
class FakeUpstream:
    """An upstream as the protocol describes it, advanced by the world's clock.

    Parameters
    ----------
    name
        Its name.
    checks_fencing
        Whether it refuses an order with an old fencing number.
    initial
        Models that a restarted upstream serves.
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
        """Stop and lose everything."""
        self.is_up = False
        self.loading = None

    def restart(self) -> None:
        """Come back with the initial models under a new incarnation."""
        self.is_up = True
        self.leaving = False
        self.incarnation += 1
        self.models = dict(self.initial)
        self.adapters = set()
        self.role = "both"
        self.seen_ids = set()
        self.fencing = 0

    def advance(self, now: float) -> None:
        """Finish a load that is due."""
        if self.loading is None or now < self.loading[1]:
            return
        match self.loading[0]:
            case messages.LoadModel(model, version):
                self.models[model] = version
            case messages.LoadAdapter(adapter):
                self.adapters.add(adapter)
        self.loading = None

    def state(self, now: float) -> messages.UpstreamState:
        """Return what it reports."""
        served = [messages.ModelVersion(*entry) for entry in sorted(self.models.items())]
        adapters = sorted(self.adapters)
        return messages.UpstreamState(
            self.name, self.incarnation, served, adapters, self.role, self.leaving, now
        )

    def execute(self, order: messages.Order, now: float, seconds: float) -> messages.Outcome:
        """Carry `order` out; a load takes `seconds`."""
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
