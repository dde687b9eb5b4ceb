"""What the connections of all clients share: memory for heads, slots, and turns of costly input."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from hollyring.limits import connection_slots, head_budget
from hollyring.node import input_turns

Slots = connection_slots.ConnectionSlots[Any]


@dataclasses.dataclass(slots=True)
class Shared:
    """What the connections of one or several servers share.

    Parameters
    ----------
    heads
        Memory that heads and unfinished lines of all connections may take.
    slots
        Connections that may be open, by the port that they were accepted on; those on another port
        share the limit on connections of the settings.
    turns
        Turns of connections whose input costs much time.
    """

    heads: head_budget.HeadBudget = dataclasses.field(default_factory=head_budget.HeadBudget)
    slots: Mapping[int, Slots] = dataclasses.field(default_factory=dict)
    turns: input_turns.InputTurns = dataclasses.field(default_factory=input_turns.InputTurns)

    def gauges(self) -> dict[str, int]:
        """Return what the connections hold, by metric name without its prefix."""
        slots = self.slots.values()
        return {
            "held_heads_bytes": self.heads.held,
            "held_heads_limit": self.heads.limit,
            "held_heads_refusals_total": self.heads.refusals,
            "held_heads_evictions_total": self.heads.evictions,
            "client_connections": sum(len(some) for some in slots),
            "client_connections_limit": sum(some.limit for some in slots),
            "client_connections_closed_for_others_total": sum(
                some.closed_for_others for some in slots
            ),
        }
