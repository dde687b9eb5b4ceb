"""``hollyring experiment``: measurements and randomised runs, each imported when it is used."""

from __future__ import annotations

import importlib

import click

COMMANDS = {
    "configuration": "configuration.configuration",
    "configuration-slopes": "configuration_scaling.configuration_scaling",
    "delivery": "delivery.delivery",
    "delivery-cost": "delivery_cost.delivery_cost",
    "limits": "limits.command",
    "limits-faults": "limits_faults.command",
    "limits-slopes": "limits_scaling.command",
    "matrix": "matrix.matrix",
    "membership": "membership.membership",
    "rollout": "rollout.rollout",
    "routing": "routing.routing",
    "routing-replay": "routing_variants.routing_variants",
    "soak": "soak.soak",
}
"""Module in `hollyring.experiments` and attribute of each command."""


class Experiments(click.Group):
    """Command group that imports each command when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the sorted names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command `cmd_name`, or None if it does not exist."""
        if cmd_name not in COMMANDS:
            return None
        module, attribute = COMMANDS[cmd_name].split(".")
        return getattr(importlib.import_module(f"hollyring.experiments.{module}"), attribute)


@click.command(cls=Experiments)
def experiment() -> None:
    """Measure components and test them with injected faults, on this host only.

    Example: hollyring experiment limits --seed 1
    """
