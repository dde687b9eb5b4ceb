"""``hollyring explain``: the logged decisions on a request and the cause of its outcome."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterable, Iterator
from typing import Any

import click
import msgspec

CAUSES = {
    "rate_limited": "its organisation had used up its rate and burst",
    "invalid_key": "no organisation held its key in the configuration in force",
    "unknown_route": "no route of the configuration in force has its host and path",
    "crashing_request": "it crashes the servers that answer it; it was not run",
    "configuration_stale": "the VM had no configuration yet",
    "overloaded": "no upstream could have begun it in time; it was not run",
    "no_upstream": "no upstream was left to send it to; it was not run",
    "leaving": "the VM was about to stop and might not have finished it; it was not run",
    "upstream_failed": "an upstream failed on it and it may not be run again",
    "deadline_exceeded": "its time passed while an upstream worked on it",
    "caller_ended": "its caller closed the connection or its sending side; it was not run",
    "caller left": "its caller closed the connection",
    "grace period over": "its VM stopped before it was answered",
    "upstream's failure": "the upstream itself answered with a failure",
    "answered": "it was answered",
}
"""Explanation of each code and outcome in the log."""

MIN_FAILURE_STATUS = 500

_EXECUTING_TEXTS = {"request: taken from another VM", "request: declined for another VM"}
"""Texts that a VM logs only on requests which another VM admitted."""

_JSON = re.compile(r"\{.*\}")


def request_records(request: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log records of a request; text before the JSON object of a line is ignored.

    Examples
    --------
    >>> log = ['3.2 vm-1 {"text":"request: ended","request":"r-1"}', "no JSON", '{"request":"r-2"}']
    >>> list(request_records("r-1", log))
    [{'text': 'request: ended', 'request': 'r-1'}]
    """
    for line in lines:
        if request not in line:
            continue
        json_match = _JSON.search(line)
        if json_match is None:
            continue
        try:
            fields = msgspec.json.decode(json_match[0])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and fields.get("request") == request:
            yield fields


def admitting_decisions(decisions: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the records of the VM that admitted a request, or all if it logged none.

    Examples
    --------
    >>> taken = {"vm": "vm-2", "text": "request: taken from another VM"}
    >>> admitting_decisions([{"vm": "vm-1", "text": "request: forwarded"}, taken])
    [{'vm': 'vm-1', 'text': 'request: forwarded'}]
    """
    executing = {d.get("vm") for d in decisions if d.get("text") in _EXECUTING_TEXTS}
    return [d for d in decisions if d.get("vm") not in executing] or decisions


def explain_outcome(decisions: list[dict[str, Any]]) -> str:
    """Return the cause of a request's outcome, given its log records in order.

    Examples
    --------
    >>> explain_outcome([{"text": "request: refused", "code": "rate_limited"}])
    'rate_limited: its organisation had used up its rate and burst'
    """
    if not decisions:
        return "nothing is logged on it: it reached no VM, or the log is not whole"
    admitting = admitting_decisions(decisions)
    last = admitting[-1]
    if last.get("text") == "request: forwarded":
        return f"no end is logged: the VM was lost, or the log ends, while {last.get('to')} had it"
    if last.get("text") == "request: sent":
        upstream = last.get("upstream")
        return f"no end is logged: the VM was lost, or the log ends, while {upstream} worked on it"
    code = last.get("code") or last.get("outcome", "")
    if code == "answered" and last.get("status", 0) >= MIN_FAILURE_STATUS:
        code = "upstream's failure"
    text = f"{code}: {CAUSES.get(code, 'see its last line')}"
    failures = [d for d in decisions if d.get("text") == "request: try failed"]
    ends = [d for d in admitting if d.get("text") == "request: no further try"]
    if ends and code != "answered":
        text += f"; no further try: {ends[-1].get('why')}"
    if last.get("through"):
        text += f"; through {last['through']}"
    if failures and code != "answered":
        first = failures[0]
        text += f"; first failure at {first.get('upstream')}: {first.get('why')}"
    sent = [d for d in decisions if d.get("text") == "request: sent"]
    expected = sent[-1].get("expected", 0) if sent else 0
    if code == "answered" and last.get("first", 0) > 2 * expected > 0:
        text += f"; late: first event after {last['first']} s, expected {expected} s"
    return text


@click.command()
@click.argument("request")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    metavar="LOG...",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def explain(request: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Print the decisions on REQUEST in the log files, in order, and the cause of its outcome.

    With the logs of several VMs, those of one that executed it for another are among them.

    Example: hollyring explain 9c41d07be2a35f68 vm-1.log vm-2.log
    """
    decisions: list[dict[str, Any]] = []
    for log in logs:
        with log.open(errors="replace") as log_file:
            decisions += request_records(request, log_file)
    if len(logs) > 1:
        decisions.sort(key=lambda fields: fields.get("timestamp", 0.0))
    for fields in decisions:
        shown = {name: value for name, value in fields.items() if name not in _HIDDEN_FIELDS}
        click.echo(f"{fields.get('vm', '')} {fields.get('text', '')} {_format_fields(shown)}")
    click.echo(f"cause: {explain_outcome(decisions)}")


_HIDDEN_FIELDS = {"text", "vm", "request", "timestamp", "task_uuid", "task_level", "message_type"}


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())
