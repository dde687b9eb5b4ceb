"""The `hollyring` command."""

from __future__ import annotations

import pathlib

import click

from hollyring.cli import config, deployment, experiment, explain, operate, standin

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


_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@main.command("check-deployment")
@click.argument("file", type=_FILE)
@click.option("--in-force", type=_FILE, help="File with the configuration in force.")
@click.option("--store", "address", help="IP:PORT of the store that holds it, instead of a file.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check_deployment(
    file: pathlib.Path, in_force: pathlib.Path | None, address: str | None, as_json: bool
) -> None:
    """Check the platform's configuration in FILE before it is sent.

    Prints errors, entries that can never match, limits that contradict each other and, beside a
    configuration in force, what differs from it. Nothing is written.

    Exit status 0: nothing found; 1: warnings only; 2: errors, or what cannot be read.

    Example: hollyring check-deployment next.json --store 10.0.0.9:8601
    """
    from hollyring.platform import operator

    before = in_force.read_bytes() if in_force is not None else None
    if address is not None:
        try:
            before = operator.fetch_configuration(address)
        except OSError as error:
            click.echo(str(error), err=True)
            raise SystemExit(EXIT_BAD_INPUT) from error
    raise SystemExit(deployment.run(operator.decode_entries, file, before, as_json))


main.add_command(explain.explain)
main.add_command(experiment.experiment)
main.add_command(config.config)
main.add_command(standin.standin)
main.add_command(operate.state)
main.add_command(operate.load)
main.add_command(operate.demo)
