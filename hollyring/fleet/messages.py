"""States that upstreams report and orders that they receive."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """A model and the version of its weights."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """Reported state of an upstream, as far as orders can change it.

    Parameters
    ----------
    upstream
        Name of the upstream.
    incarnation
        Incarnation number, which grows with each restart.
    models
        Models that it serves; a model whose weights are being loaded is absent.
    adapters
        Names of the loaded adapters.
    role
        ``"both"``, ``"prefill"`` or ``"decode"``.
    leaving
        Whether it is shutting down.
    at
        Time at which the state was taken, in seconds; only compared within an incarnation.
    busy
        Whether an order is in progress.
    accepted
        Number of orders accepted since its start, or None if it does not report one.
    """

    upstream: str
    incarnation: int
    models: list[ModelVersion]
    adapters: list[str]
    role: str
    leaving: bool
    at: float
    busy: bool = False
    accepted: int | None = None

    def version(self, model: str) -> str:
        """Return the served version of `model`, or an empty string."""
        return next((entry.version for entry in self.models if entry.model == model), "")

    def is_older(self, other: UpstreamState) -> bool:
        """Return whether this state is older than `other`."""
        return (self.incarnation, self.at) < (other.incarnation, other.at)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Replace the served version of a model by another one."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter."""

    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Unload an adapter."""

    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRole:
    """Change the role of the upstream."""

    role: str


Change = LoadModel | LoadAdapter | UnloadAdapter | SetRole


@dataclasses.dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of an order on the wire (``POST /orders``)."""

    order_id: str
    fencing: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order to one upstream to make one change.

    Parameters
    ----------
    order_id
        Idempotency key, the same for each retry, also by a later lease holder. Only after an
        accepted order without effect does a retry have a new key.
    fencing
        Fencing token of the lease holder.
    upstream
        Name of the upstream.
    change
        Change to make.
    send_by
        Local time until which the VM may begin to send the order; it is dropped afterwards.
    expected
        Number of orders that the upstream must have accepted before this one, so that a delayed
        order has no effect after a newer one; None for an upstream that does not count them.
    """

    order_id: str
    fencing: int
    upstream: str
    change: Change
    send_by: float
    expected: int | None = None

    @property
    def body(self) -> OrderBody:
        """Body of the HTTP request."""
        match self.change:
            case LoadModel(model, version):
                return OrderBody(
                    self.order_id, self.fencing, "load_model", model=model, version=version
                )
            case LoadAdapter(adapter):
                return OrderBody(self.order_id, self.fencing, "load_adapter", adapter=adapter)
            case UnloadAdapter(adapter):
                return OrderBody(self.order_id, self.fencing, "unload_adapter", adapter=adapter)
            case SetRole(role):
                return OrderBody(self.order_id, self.fencing, "set_role", role=role)


class Outcome(enum.StrEnum):
    """Outcome of sending an order."""

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    NOT_SENT = "not_sent"
    CONFLICT = "conflict"
    """Another order is in progress, or `Order.expected` does not match the accepted orders."""

    UNKNOWN = "unknown"
    """The order may or may not have arrived."""
