"""Report of the check of a platform's configuration before it is sent."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable

import click

from hollyring.configuration import deployment_checks

EXIT_WARNINGS = 1
EXIT_ERRORS = 2

Decode = Callable[[bytes], deployment_checks.Entries]
"""Decodes a configuration; raises ValueError if it can't be read."""


def run(decode: Decode, file: pathlib.Path, in_force: bytes | None, as_json: bool) -> int:
    """Print what is wrong with the configuration in a file; return the exit status.

    Parameters
    ----------
    in_force
        Configuration to name the differences from, None for none.
    """
    try:
        entries = decode(file.read_bytes())
        before = decode(in_force) if in_force is not None else None
    except ValueError as error:
        click.echo(f"{file}: {error}", err=True)
        return EXIT_ERRORS
    findings = deployment_checks.check(entries)
    changes = deployment_checks.differences(before, entries) if before is not None else []
    _print(findings, changes, as_json)
    return _exit_status(findings)


def _print(
    findings: list[deployment_checks.Finding],
    changes: list[deployment_checks.Change],
    as_json: bool,
) -> None:
    if as_json:
        content = {
            "findings": [
                {"severity": f.severity.value, "entry": f.entry, "text": f.text} for f in findings
            ],
            "changes": [
                {
                    "kind": change.kind.value,
                    "entry": change.entry,
                    "fields": {n: [str(v) for v in pair] for n, pair in change.fields.items()},
                }
                for change in changes
            ],
        }
        click.echo(json.dumps(content))
        return
    for finding in findings:
        click.echo(f"{finding.severity.value}: {finding.entry}: {finding.text}")
    for change in changes:
        fields = ", ".join(f"{n} {b!r} -> {a!r}" for n, (b, a) in change.fields.items())
        click.echo(f"{change.kind.value}: {change.entry}{': ' + fields if fields else ''}")


def _exit_status(findings: list[deployment_checks.Finding]) -> int:
    if not findings:
        return 0
    is_error = any(f.severity is deployment_checks.Severity.ERROR for f in findings)
    return EXIT_ERRORS if is_error else EXIT_WARNINGS
