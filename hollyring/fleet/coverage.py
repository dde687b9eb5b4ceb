"""Upstreams that serve each model and adapter, and the effect of changes on them."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator

from hollyring.fleet import messages, targets


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What upstreams can serve: prefill or decode for a model, or an adapter.

    Parameters
    ----------
    name
        Name of the model or adapter.
    capability
        ``"prefill"`` or ``"decode"`` for a model, empty for an adapter.
    """

    name: str
    capability: str = ""


def declared_services(all_targets: Iterable[targets.Target]) -> frozenset[Service]:
    """Return the services declared for at least one target."""
    found: set[Service] = set()
    for target in all_targets:
        for capability in targets.capabilities(target.role):
            found.update(Service(entry.model, capability) for entry in target.models)
        found.update(Service(adapter) for adapter in target.adapters)
    return frozenset(found)


def lost_services(state: messages.UpstreamState, change: messages.Change) -> Iterator[Service]:
    """Yield the services that `change` interrupts or ends at the upstream in `state`.

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
    """Upstreams by the services that they provide.

    Parameters
    ----------
    states
        States of the upstreams that certainly serve requests.
    required
        Services that have to keep at least one upstream.
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
        """Remove the upstream in `state` from the services that `change` interrupts or ends."""
        for service in lost_services(state, change):
            self._upstreams[service].discard(state.upstream)

    def first_uncovered(
        self, state: messages.UpstreamState, change: messages.Change
    ) -> Service | None:
        """Return a required service that `change` would leave without an upstream, or None."""
        for service in lost_services(state, change):
            if self.is_covered(service, state.upstream):
                continue
            return service
        return None

    def is_covered(self, service: Service, without: str = "") -> bool:
        """Return whether `service` has an upstream besides `without`, or does not need one."""
        return service not in self._required or bool(self._upstreams[service] - {without})
