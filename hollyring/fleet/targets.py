"""Declared targets of upstreams, and the changes that lead to them from a reported state."""

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
    """Declared configuration of one upstream.

    Parameters
    ----------
    upstream
        Name of the upstream.
    revision
        Configuration revision that last changed this target. Changes elsewhere in the
        configuration do not affect it, so that they do not cause another load.
    models
        Models with the versions of their weights.
    adapters
        Names of the adapters.
    role
        ``"both"``, ``"prefill"`` or ``"decode"``.
    """

    upstream: str
    revision: int
    models: tuple[messages.ModelVersion, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "both"


def capabilities(role: str) -> frozenset[str]:
    """Return the capabilities of an upstream with `role`.

    Examples
    --------
    >>> sorted(capabilities("both"))
    ['decode', 'prefill']
    """
    return CAPABILITIES.get(role, frozenset({role}))


def pending_changes(target: Target, state: messages.UpstreamState) -> Iterator[messages.Change]:
    """Yield the changes from `state` to `target`, models first as adapters depend on them.

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
    """Return whether `state` shows the effect of `change`."""
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
    """Return whether `change` loads from the weight store."""
    return isinstance(change, messages.LoadModel | messages.LoadAdapter)


def order_id(target: Target, change: messages.Change) -> str:
    """Return the ID of the first order for `change`, the same for every lease holder.

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
