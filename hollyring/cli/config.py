"""``hollyring config``: check, submit and inspect configurations."""

from __future__ import annotations

import datetime
import getpass
import pathlib
import sys
import time
import typing
import uuid

import click

from hollyring.cli import admin_client, config_reports, sync_client
from hollyring.configuration import (
    documents,
    errors,
    loader,
    objects,
    revisions,
    snapshot_writer,
    snapshots,
    state,
    store,
    submission,
    validation,
)

EXIT_BAD_INPUT = 2
EXIT_LOST_RACE = 3
EXIT_UNKNOWN = 4

MAX_LOAD_FAILURES = 5
"""Failed calls after which the platform's service counts as unreachable."""

POLL_SECONDS = 0.5
"""Interval between two polls of the VMs."""

_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


def _platform_option(function: typing.Callable[..., typing.Any]) -> typing.Any:
    return click.option(
        "--platform",
        "url",
        required=True,
        envvar="HOLLYRING_PLATFORM",
        help="http://IP:PORT of the platform's service, or HOLLYRING_PLATFORM.",
    )(function)


def _json_option(function: typing.Callable[..., typing.Any]) -> typing.Any:
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(function)


@click.group()
def config() -> None:
    """Check, submit and inspect configurations.

    A declaration, a Python program, prints its configuration when it is run.

    Exit status: 0 success; 2 invalid input; 3 another change was accepted first; 4 the platform's
    service or a VM could not be reached, or the outcome is unknown.

    \b
    Example:
      python examples/bohari.py > bohari.json
      hollyring config check bohari.json
      hollyring config apply bohari.json --platform http://127.0.0.1:9020
    """


@config.command()
@click.argument("file", type=_FILE)
@_json_option
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check the configuration in FILE and print all errors at once.

    Example: hollyring config check bohari.json
    """
    document = _read_document(file, as_json)
    config_reports.print_report(
        {"outcome": "fine", "objects": len(document.objects)},
        f"{file}: fine, {len(document.objects)} objects",
        as_json,
    )


@config.command("print")
@_platform_option
def print_(url: str) -> None:
    """Print the configuration in force, in the format that a declaration prints.

    Example: hollyring config print --platform http://127.0.0.1:9020 | diff bohari.json -
    """
    loaded = _load_configuration(sync_client.SyncPlatformClient(url), False)
    items = list(loaded.configuration.items())
    click.echo(documents.encode(documents.Document(items)), nl=False)


@config.command()
@click.argument("file", type=_FILE)
@_platform_option
@click.option(
    "--author", default=getpass.getuser, help="Author of the change.  [default: current user]"
)
@click.option("--base", type=int, help="Refuse unless this revision is the latest.")
@click.option("--dry-run", is_flag=True, help="Print the changes without submitting them.")
@click.option("--admin-key", default="", envvar="HOLLYRING_ADMIN_KEY", help="Admin bearer token.")
@_json_option
def apply(
    file: pathlib.Path,
    url: str,
    author: str,
    base: int | None,
    dry_run: bool,
    admin_key: str,
    as_json: bool,
) -> None:
    """Submit the configuration in FILE.

    Objects that are in force and not in FILE are deleted. In scripts, use --base with the revision
    from which FILE was made, so that later changes are not reverted. Before the submission some
    VMs are asked for their revision; if one is newer than the latest of the platform's service, the
    service has lost data and the change is refused.

    \b
    Example:
      hollyring config apply bohari.json --platform http://127.0.0.1:9020 --base 41
    """
    document = _read_document(file, as_json)
    client = sync_client.SyncPlatformClient(url)
    loaded = _load_configuration(client, as_json)
    if base is not None and loaded.configuration.revision != base:
        _exit_stale_base(client, base, loaded.configuration.revision, as_json)
    if not dry_run:
        _require_newest_store(loaded.configuration, admin_key, as_json)
    configuration = loaded.configuration
    while True:
        change = _plan(configuration, document, as_json)
        if dry_run or (change.is_empty and configuration is loaded.configuration):
            config_reports.print_report(
                config_reports.plan_report(change, "nothing submitted"),
                config_reports.plan_text(change),
                as_json,
            )
            return
        if change.is_empty:
            return
        value = _submit(client, change, author, as_json)
        configuration = revisions.apply(configuration, value)
        _write_snapshot(client, configuration, value, loaded.pointer)
        if change.complete:
            return


@config.command()
@_platform_option
@_json_option
def show(url: str, as_json: bool) -> None:
    """Show the latest revision and its number of objects of each kind.

    Example: hollyring config show --platform http://127.0.0.1:9020
    """
    configuration = _load_configuration(sync_client.SyncPlatformClient(url), as_json).configuration
    counts = dict.fromkeys(objects.KINDS, 0)
    for item in configuration.items():
        counts[objects.identity(item).kind] += 1
    report = {
        "revision": configuration.revision,
        "digest": configuration.digest,
        "objects": counts,
    }
    lines = [f"revision {configuration.revision}"]
    lines += [f"{count:6} {kind}" for kind, count in counts.items()]
    config_reports.print_report(report, "\n".join(lines), as_json)


@config.command()
@_platform_option
@click.option("--limit", default=20, show_default=True, help="Revisions to show, newest first.")
@_json_option
def history(url: str, limit: int, as_json: bool) -> None:
    """Show the revisions with author and changed objects, newest first.

    Example: hollyring config history --platform http://127.0.0.1:9020 --limit 5
    """
    client = sync_client.SyncPlatformClient(url)
    newest = _load_configuration(client, as_json).configuration.revision
    found = _read_revisions(client, range(newest, max(0, newest - limit), -1))
    config_reports.print_report(
        [config_reports.revision_report(item) for item in found],
        "\n".join(config_reports.revision_text(item) for item in found),
        as_json,
    )


@config.command()
@click.argument("revision", type=int)
@click.option(
    "--vm", "vm_addresses", multiple=True, help="IP:PORT of a VM's admin port; repeatable."
)
@click.option(
    "--platform",
    "url",
    envvar="HOLLYRING_PLATFORM",
    help="Without --vm: poll every VM of the roster in force there.",
)
@click.option("--admin-key", default="", envvar="HOLLYRING_ADMIN_KEY", help="Admin bearer token.")
@click.option("--timeout", default=30.0, show_default=True, help="Seconds.")
@_json_option
def wait(
    revision: int,
    vm_addresses: tuple[str, ...],
    url: str | None,
    admin_key: str,
    timeout: float,
    as_json: bool,
) -> None:
    """Wait until REVISION is in force on every VM, and print the revision of each.

    Exit status 4: it was not in force on every VM before the timeout.

    \b
    Example:
      hollyring config wait 42 --platform http://127.0.0.1:9020
      hollyring config wait 42 --vm 127.0.0.1:20200 --vm 127.0.0.1:20201
    """
    if not vm_addresses and url is None:
        raise click.UsageError("give --vm or --platform")
    addresses = list(vm_addresses) or _admin_addresses(
        sync_client.SyncPlatformClient(str(url)), as_json
    )
    deadline = time.monotonic() + timeout
    revision_by_address: dict[str, int | None] = dict.fromkeys(addresses)
    behind = list(addresses)
    hidden = as_json or not sys.stderr.isatty()
    with click.progressbar(length=len(behind), file=sys.stderr, hidden=hidden) as bar:
        while True:
            for address in behind:
                revision_by_address[address] = admin_client.fetch_revision(address, admin_key)
            remaining = [
                address for address in behind if (revision_by_address[address] or 0) < revision
            ]
            bar.update(len(behind) - len(remaining))
            behind = remaining
            if not behind or time.monotonic() >= deadline:
                break
            time.sleep(POLL_SECONDS)
    shown = {
        a: "not reachable" if r is None else f"revision {r}" for a, r in revision_by_address.items()
    }
    lines = [f"{address}: {text}" for address, text in shown.items()]
    lines.append(f"in force on {len(addresses) - len(behind)} of {len(addresses)} VMs")
    config_reports.print_report(
        {"revision": revision, "vms": revision_by_address, "behind": behind},
        "\n".join(lines),
        as_json,
    )
    if behind:
        sys.exit(EXIT_UNKNOWN)


def _read_document(file: pathlib.Path, as_json: bool) -> documents.Document:
    try:
        document = documents.decode(file.read_bytes())
        validation.require_valid(document.objects)
    except errors.InvalidConfigurationError as error:
        text = "\n".join(f"{file}: {finding}" for finding in error.findings)
        config_reports.exit_with_report(
            {"outcome": "invalid", "findings": error.findings}, text, EXIT_BAD_INPUT, as_json
        )
    return document


def _load_configuration(client: sync_client.SyncPlatformClient, as_json: bool) -> loader.LoadResult:
    configuration_loader = loader.Loader()
    client.run(configuration_loader, MAX_LOAD_FAILURES)
    if configuration_loader.result is None:
        text = "the platform's service is not reachable; nothing was submitted"
        config_reports.exit_with_report({"outcome": "unreachable"}, text, EXIT_UNKNOWN, as_json)
    if configuration_loader.result.error:
        click.echo(
            f"warning: a stored revision cannot be applied: {configuration_loader.result.error}",
            err=True,
        )
    return configuration_loader.result


def _plan(
    configuration: state.Configuration, document: documents.Document, as_json: bool
) -> submission.Plan:
    try:
        return submission.plan(configuration, document)
    except errors.ConfigurationError as error:
        report = {"outcome": "invalid", "findings": [str(error)]}
        config_reports.exit_with_report(report, str(error), EXIT_BAD_INPUT, as_json)


def _submit(
    client: sync_client.SyncPlatformClient, change: submission.Plan, author: str, as_json: bool
) -> bytes:
    at = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    submitted = submission.Submission(change, uuid.uuid4().hex, author, at)
    client.run(submitted, submission.MAX_FAILED_CALLS)
    revision = change.base.revision + 1
    match submitted.outcome:
        case submission.Accepted():
            report = {**config_reports.plan_report(change, "accepted"), "revision": revision}
            config_reports.print_report(
                report,
                f"{config_reports.plan_text(change)}\naccepted as revision {revision}",
                as_json,
            )
        case submission.Rejected(winner):
            _exit_lost_race([winner], change, as_json)
        case _:
            text = (
                f"outcome unknown: the change may become revision {revision}, now or later\n"
                "Find out with: hollyring config history --limit 1; applying again is safe."
            )
            config_reports.exit_with_report(
                {"outcome": "unknown", "revision": revision}, text, EXIT_UNKNOWN, as_json
            )
    return submitted.value


def _write_snapshot(
    client: sync_client.SyncPlatformClient,
    configuration: state.Configuration,
    head: bytes,
    pointer: store.Found | None,
) -> None:
    decoded = snapshots.decode_pointer(pointer.value) if pointer else None
    if snapshots.is_due(configuration.revision, decoded):
        # A failed write is not retried: the next submitter finds that a snapshot is due.
        client.run(snapshot_writer.SnapshotWriter(configuration, head, pointer), 1)


def _exit_stale_base(
    client: sync_client.SyncPlatformClient, base: int, newest: int, as_json: bool
) -> None:
    text = f"the latest revision is {newest}, not {base}"
    if newest < base:
        config_reports.exit_with_report(
            {"outcome": "lost", "changes": []}, text, EXIT_LOST_RACE, as_json
        )
    click.echo(text, err=True)
    _exit_lost_race(_read_revisions(client, range(base + 1, newest + 1)), None, as_json)


def _exit_lost_race(
    winners: list[revisions.Revision], change: submission.Plan | None, as_json: bool
) -> typing.NoReturn:
    own_identities = {objects.identity(item) for item in change.put} if change else set()
    own_identities |= set(change.delete) if change else set()
    lines = ["this change was refused because these were accepted first:"]
    for winner in winners:
        lines.append(config_reports.revision_text(winner))
        lines += [
            f"  you change {name}, too"
            for name in winner.changed_identities
            if name in own_identities
        ]
    report = {
        "outcome": "lost",
        "changes": [config_reports.revision_report(winner) for winner in winners],
    }
    config_reports.exit_with_report(report, "\n".join(lines), EXIT_LOST_RACE, as_json)


def _read_revisions(
    client: sync_client.SyncPlatformClient, numbers: range
) -> list[revisions.Revision]:
    found = []
    for number in numbers:
        answer = client.perform(store.Read(revisions.key(number)))
        if isinstance(answer, store.Found):
            found.append(revisions.decode(answer.value))
    return found


def _admin_addresses(client: sync_client.SyncPlatformClient, as_json: bool) -> list[str]:
    configuration = _load_configuration(client, as_json).configuration
    return [vm.admin_address for _, vm in sorted(configuration.vms.items())]


def _require_newest_store(
    configuration: state.Configuration, admin_key: str, as_json: bool
) -> None:
    """Exit if a VM has a newer revision than the platform's service, which then has lost data."""
    ahead = admin_client.newer_revisions(configuration, admin_key)
    if ahead:
        text = (
            f"the platform's service is at revision {configuration.revision} and lost newer ones: "
            + ", ".join(f"{name} has {number}" for name, number in ahead.items())
            + "; the VMs restore them, try again in a minute"
        )
        config_reports.exit_with_report(
            {"outcome": "store_older", "ahead": ahead}, text, EXIT_UNKNOWN, as_json
        )
