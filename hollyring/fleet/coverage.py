"""Which upstreams serve each model, adapter and capability, and what a change takes away."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from hollyring.fleet import messages, targets


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A model with a capability, or an adapter with none."""

    name: str
    capability: str = ""


def declared(all_targets: Iterable[targets.Target]) -> frozenset[Service]:
    """Return the services that some target is declared to give."""
    found: set[Service] = set()
    for target in all_targets:
        for capability in targets.capabilities(target.role):
            found.update(Service(entry.model, capability) for entry in target.models)
        found.update(Service(adapter) for adapter in target.adapters)
    return frozenset(found)


def lost(state: messages.UpstreamState, change: messages.Change) -> Iterator[Service]:
    """Yield what the upstream in `state` stops giving with `change`, for a while or for good.

    Examples
    --------
    >>> served = [messages.ModelVersion("parish", "v1")]
    >>> state = messages.UpstreamState("e1", 1, served, [], "both", False, 0.0)
    >>> list(lost(state, messages.SetRole("decode")))
    [Service(name='parish', capability='prefill')]
    >>> list(lost(state, messages.LoadModel("ledger", "v1")))
    []
    """
    has = targets.capabilities(state.role)
    match change:
        case messages.LoadModel(model, _) if state.version(model):
            yield from (Service(model, capability) for capability in has)
        case messages.SetRole(role):
            given_up = has - targets.capabilities(role)
            yield from (Service(entry.model, c) for entry in state.models for c in given_up)
        case messages.UnloadAdapter(adapter):
            yield Service(adapter)


class Coverage:
    """Counts the upstreams that give each service.

    Parameters
    ----------
    states
        States of the upstreams that surely serve.
    wanted
        Services that must not lose their last upstream.
    """

    def __init__(
        self, states: Iterable[messages.UpstreamState], wanted: frozenset[Service]
    ) -> None:
        self._servers: dict[Service, set[str]] = collections.defaultdict(set)
        self._wanted = wanted
        for state in states:
            for capability in targets.capabilities(state.role):
                for entry in state.models:
                    self._servers[Service(entry.model, capability)].add(state.upstream)
            for adapter in state.adapters:
                self._servers[Service(adapter)].add(state.upstream)

    def take_out(self, state: messages.UpstreamState, change: messages.Change) -> None:
        """Count the upstream in `state` no longer for what `change` takes away."""
        for service in lost(state, change):
            self._servers[service].discard(state.upstream)

    def last_served(self, state: messages.UpstreamState, change: messages.Change) -> Service | None:
        """Return a service that `change` would leave without an upstream."""
        for service in lost(state, change):
            if self.is_kept(service, state.upstream):
                continue
            return service
        return None

    def is_kept(self, service: Service, without: str = "") -> bool:
        """Tell whether `service` has an upstream besides `without`, or needs none."""
        return service not in self._wanted or bool(self._servers[service] - {without})
