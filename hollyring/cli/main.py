"""The `hollyring` command."""

from __future__ import annotations

import click

import hollyring

VERSION = "0.1.0"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Route language-model traffic with long shared prompts.

    Settings are JSON files; configurations are printed by declarations kept in version control.
    """


@main.command()
def version() -> None:
    """Print the version.

    Example: hollyring version
    """
    click.echo(f"{hollyring.__name__} {VERSION}")
