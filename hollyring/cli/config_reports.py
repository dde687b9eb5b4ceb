"""What ``hollyring config`` prints of plans and revisions, as JSON or as text."""

from __future__ import annotations

import sys
import typing

import click
import msgspec

from hollyring.configuration import objects, revisions, submission


def plan_report(change: submission.Plan, outcome: str) -> dict[str, object]:
    """Return what a plan changes, with the outcome of its submission."""
    return {
        "outcome": outcome,
        "base": change.base.revision,
        "added": [str(name) for name in change.added],
        "changed": [str(name) for name in change.replaced],
        "deleted": [str(name) for name in change.delete],
    }


def plan_text(change: submission.Plan) -> str:
    """Return what a plan changes, a line for each object."""
    if change.is_empty:
        return f"nothing to change, revision {change.base.revision} is as declared"
    lines = [f"+ {name}" for name in change.added]
    lines += [f"~ {name}" for name in change.replaced]
    lines += [f"- {name}" for name in change.delete]
    return "\n".join(lines)


def revision_report(revision: revisions.Revision) -> dict[str, object]:
    """Return what a revision changed, by whom and when."""
    return {
        "revision": revision.revision,
        "author": revision.author,
        "at": revision.at,
        "submission": revision.submission,
        "put": [str(objects.identity(item)) for item in revision.put],
        "deleted": [str(name) for name in revision.delete],
    }


def revision_text(revision: revisions.Revision) -> str:
    """Return what a revision changed, by whom and when, in one line."""
    names = ", ".join(str(name) for name in revision.changed_identities)
    return f"revision {revision.revision} by {revision.author} at {revision.at}: {names}"


def print_report(report: object, text: str, as_json: bool) -> None:
    """Print a report as JSON, or its text."""
    click.echo(msgspec.json.encode(report).decode() if as_json else text)


def exit_with_report(report: object, text: str, status: int, as_json: bool) -> typing.NoReturn:
    """Print a report as JSON, or its text as an error, and end the command with a status."""
    if as_json:
        print_report(report, text, as_json)
    else:
        click.echo(text, err=True)
    sys.exit(status)
