"""What is declared for each upstream and how its reported state differs from it."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from hollyring.fleet import messages

CAPABILITIES = {
    "both": frozenset({"prefill", "decode"}),
    "prefill": frozenset({"prefill"}),
    "decode": frozenset({"decode"}),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What one upstream is declared to serve.

    Parameters
    ----------
    upstream
        Name of the upstream.
    revision
        The configuration revision that last changed this target; changes elsewhere in the
        configuration leave it as it is, so that they don't repeat a load.
    models
        Models with versions.
    adapters
        Names of adapters.
    role
        Declared role.
    """

    upstream: str
    revision: int
    models: tuple[messages.ModelVersion, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "both"


def capabilities(role: str) -> frozenset[str]:
    """Return what an upstream in `role` can do.

    Examples
    --------
    >>> sorted(capabilities("both"))
    ['decode', 'prefill']
    """
    return CAPABILITIES.get(role, frozenset({role}))


def pending_changes(target: Target, state: messages.UpstreamState) -> Iterator[messages.Change]:
    """Yield what is left to do, models first since adapters rest on them.

    Examples
    --------
    >>> v2 = messages.ModelVersion("parish", "v2")
    >>> state = messages.UpstreamState("e1", 1, [], ["old"], "both", False, 0.0)
    >>> for change in pending_changes(Target("e1", 7, (v2,)), state):
    ...     print(change)
    LoadModel(model='parish', version='v2')
    UnloadAdapter(adapter='old')
    """
    for wanted in target.models:
        if state.version(wanted.model) != wanted.version:
            yield messages.LoadModel(wanted.model, wanted.version)
    for adapter in target.adapters:
        if adapter not in state.adapters:
            yield messages.LoadAdapter(adapter)
    if state.role != target.role:
        yield messages.SetRole(target.role)
    for adapter in state.adapters:
        if adapter not in target.adapters:
            yield messages.UnloadAdapter(adapter)


def is_applied(state: messages.UpstreamState, change: messages.Change) -> bool:
    """Tell whether `state` shows that `change` was carried out."""
    match change:
        case messages.LoadModel(model, version):
            return state.version(model) == version
        case messages.LoadAdapter(adapter):
            return adapter in state.adapters
        case messages.UnloadAdapter(adapter):
            return adapter not in state.adapters
        case messages.SetRole(role):
            return state.role == role


def loads_weights(change: messages.Change) -> bool:
    """Tell whether `change` reads from the weight store."""
    return isinstance(change, messages.LoadModel | messages.LoadAdapter)


def order_id(target: Target, change: messages.Change) -> str:
    """Return the identity that every holder of the lease gives the order for `change`.

    Examples
    --------
    >>> order_id(Target("e1", 7), messages.LoadModel("parish", "v2"))
    '7:e1:load_model:parish:v2'
    """
    return f"{target.revision}:{target.upstream}:{_change_key(change)}"


def _change_key(change: messages.Change) -> str:
    match change:
        case messages.LoadModel(model, version):
            return f"load_model:{model}:{version}"
        case messages.LoadAdapter(adapter):
            return f"load_adapter:{adapter}"
        case messages.UnloadAdapter(adapter):
            return f"unload_adapter:{adapter}"
        case messages.SetRole(role):
            return f"set_role:{role}"
