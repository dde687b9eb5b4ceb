"""``hollyring experiment``: measurements and randomised runs, each loaded only when asked for."""

from __future__ import annotations

import importlib

import click

COMMANDS = {
    "capacity": "capacity.capacity",
    "configuration": "configuration.configuration",
    "configuration-slopes": "configuration_scaling.configuration_scaling",
    "control": "control.control",
    "delivery": "delivery.delivery",
    "delivery-cost": "delivery_cost.delivery_cost",
    "limits": "limits.command",
    "limits-faults": "limits_figures.command",
    "limits-slopes": "limits_slopes.command",
    "matrix": "matrix.matrix",
    "membership": "membership.membership",
    "membership-slopes": "membership_scaling.slopes",
    "overhead": "overhead.overhead",
    "rollout": "rollout.rollout",
    "routing": "routing.routing",
    "routing-replay": "routing_trials.routing_trials",
    "routing-slopes": "routing_slopes.routing_slopes",
    "soak": "soak.soak",
}
"""Module and attribute in `hollyring.experiments` by command."""


class Experiments(click.Group):
    """A group whose commands are imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, None if there is none of this name."""
        if cmd_name not in COMMANDS:
            return None
        module, attribute = COMMANDS[cmd_name].split(".")
        return getattr(importlib.import_module(f"hollyring.experiments.{module}"), attribute)


@click.command(cls=Experiments)
def experiment() -> None:
    """Measure mechanisms and try them under faults, on this machine only.

    Example: hollyring experiment limits --seed 1
    """
