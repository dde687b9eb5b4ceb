"""The `hollyring` command."""

from __future__ import annotations

import pathlib

import click

from hollyring.cli import config, experiment, explain, operate, standin

VERSION = "0.1.0"
EXIT_BAD_INPUT = 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Route language-model traffic with long shared prompts.

    Settings are JSON or TOML files. Configurations are printed by declarations, Python
    programs that are kept in version control.
    """


@main.command()
def version() -> None:
    """Print the version.

    Example: hollyring version
    """
    click.echo(f"hollyring {VERSION}")


@main.command()
@click.argument(
    "settings_file",
    required=False,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def serve(settings_file: pathlib.Path | None, check: bool) -> None:
    """Run a VM process with the settings in SETTINGS_FILE.

    Without SETTINGS_FILE, or with a .toml file, the VM runs under the platform's adapter; without
    SETTINGS_FILE, the platform provides the path.

    Exit status 2: the settings are invalid; every error is printed.

    Example: hollyring serve vm-1.json
    """
    if settings_file is None or settings_file.suffix == ".toml":
        from hollyring.platform import start

        raise SystemExit(start.run(settings_file, check))
    from hollyring.node import errors, server, settings

    try:
        vm_settings = settings.parse(settings_file.read_bytes())
    except errors.SettingsError as error:
        for finding in error.findings:
            click.echo(f"{settings_file}: {finding}", err=True)
        raise SystemExit(EXIT_BAD_INPUT) from error
    if check:
        click.echo(f"{settings_file}: fine")
        return
    server.serve(vm_settings)


main.add_command(explain.explain)
main.add_command(experiment.experiment)
main.add_command(config.config)
main.add_command(standin.standin)
main.add_command(operate.state)
main.add_command(operate.load)
main.add_command(operate.demo)
