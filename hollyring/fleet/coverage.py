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


def declared_services(all_targets: Iterable[targets.Target]) -> frozenset[Service]:
    """Return the services that some target is declared to give."""
    found: set[Service] = set()
    for target in all_targets:
        for capability in targets.capabilities(target.role):
            found.update(Service(entry.model, capability) for entry in target.models)
        found.update(Service(adapter) for adapter in target.adapters)
    return frozenset(found)


def lost_services(state: messages.UpstreamState, change: messages.Change) -> Iterator[Service]:
    """Yield what the upstream in `state` stops giving with `change`, for a while or for good.

    Examples
    --------
    >>> served = [messages.ModelVersion("parish", "v1")]
    >>> state = messages.UpstreamState("e1", 1, served, [], "both", False, 0.0)
    >>> list(lost_services(state, messages.SetRole("decode")))
    [Service(name='parish', capability='prefill')]
    >>> list(lost_services(state, messages.LoadModel("ledger", "v1")))
    []
    """
    current = targets.capabilities(state.role)
    match change:
        case messages.LoadModel(model, _) if state.version(model):
            yield from (Service(model, capability) for capability in current)
        case messages.SetRole(role):
            removed = current - targets.capabilities(role)
            yield from (Service(entry.model, c) for entry in state.models for c in removed)
        case messages.UnloadAdapter(adapter):
            yield Service(adapter)


class Coverage:
    """Counts the upstreams that give each service.

    Parameters
    ----------
    states
        States of the upstreams that surely serve.
    required
        Services that must not lose their last upstream.
    """

    def __init__(
        self, states: Iterable[messages.UpstreamState], required: frozenset[Service]
    ) -> None:
        self._upstreams: dict[Service, set[str]] = collections.defaultdict(set)
        self._required = required
        for state in states:
            for capability in targets.capabilities(state.role):
                for entry in state.models:
                    self._upstreams[Service(entry.model, capability)].add(state.upstream)
            for adapter in state.adapters:
                self._upstreams[Service(adapter)].add(state.upstream)

    def remove_upstream(self, state: messages.UpstreamState, change: messages.Change) -> None:
        """Count the upstream in `state` no longer for what `change` takes away."""
        for service in lost_services(state, change):
            self._upstreams[service].discard(state.upstream)

    def first_uncovered(
        self, state: messages.UpstreamState, change: messages.Change
    ) -> Service | None:
        """Return a service that `change` would leave without an upstream."""
        for service in lost_services(state, change):
            if self.is_covered(service, state.upstream):
                continue
            return service
        return None

    def is_covered(self, service: Service, without: str = "") -> bool:
        """Tell whether `service` has an upstream besides `without`, or needs none."""
        return service not in self._required or bool(self._upstreams[service] - {without})
