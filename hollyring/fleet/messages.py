"""What upstreams report of themselves and the orders they are given."""

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
    """What an upstream reports that orders can change.

    Parameters
    ----------
    upstream
        Name of the upstream.
    incarnation
        Number of its life.
    models
        What it serves now; a model whose weights are being loaded is absent.
    adapters
        Names of the loaded adapters.
    role
        ``"both"``, ``"prefill"`` or ``"decode"``.
    leaving
        Whether it is about to go.
    at
        The upstream's own clock when the state was taken, in seconds.
    busy
        Whether an order is being carried out.
    accepted
        Orders that it took since its start, or None from one that does not tell.
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
        """Return the version of `model` that is served, or an empty string."""
        return next((entry.version for entry in self.models if entry.model == model), "")

    def is_older(self, other: UpstreamState) -> bool:
        """Tell whether this state was taken before `other`."""
        return (self.incarnation, self.at) < (other.incarnation, other.at)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a version of a model in place of the one that is served."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load an adapter."""

    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Drop an adapter."""

    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRole:
    """Change the role."""

    role: str


Change = LoadModel | LoadAdapter | UnloadAdapter | SetRole


@dataclasses.dataclass(frozen=True, slots=True)
class OrderBody:
    """The order as it is sent to an upstream (``POST /orders``)."""

    order_id: str
    fencing: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One change for one upstream.

    Parameters
    ----------
    order_id
        The same for every repetition, also by a later holder of the lease.
    fencing
        The giver's fencing number.
    upstream
        Name of the upstream.
    change
        What it is to do.
    send_by
        The node starts to send by this time of its own clock, or drops the order.
    expected
        Orders that the upstream must have taken before, so that one that is carried out late
        does nothing after a newer one; None for an upstream that does not count them.
    """

    order_id: str
    fencing: int
    upstream: str
    change: Change
    send_by: float
    expected: int | None = None

    @property
    def body(self) -> OrderBody:
        """The body of the call."""
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
    """What became of sending an order."""

    ACCEPTED = "accepted"
    STALE_FENCING = "stale_fencing"
    NOT_SENT = "not_sent"
    CONFLICT = "conflict"
    """The upstream carries out another order, or took one that the giver did not know of."""

    UNKNOWN = "unknown"
