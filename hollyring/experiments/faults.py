"""Faults of the brief, injected into a fleet of real processes, and healed again."""

from __future__ import annotations

import dataclasses
import signal
import uuid
from typing import Any

import anyio
import httpcore
import msgspec

from hollyring.configuration import documents, loader, objects, state, submission
from hollyring.experiments import errors, launcher
from hollyring.node import platform_client, store_calls

HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """A process is killed; healed by a new start."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process stands still (SIGSTOP); healed by waking it."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """A VM is told to leave (SIGTERM); healed by a new start."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class StandInFault:
    """A stand-in's own fault; healed by switching it off."""

    name: str
    kind: str
    value: float = 0.0
    count: int = 0
    mode: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionRace:
    """Two operators submit different changes on the same revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKeys:
    """A key is withdrawn; healed by granting it again."""

    organisation: str


Fault = Kill | Freeze | Terminate | StandInFault | SubmissionRace | WithdrawKeys


async def inject(fleet: launcher.Fleet, fault: Fault) -> None:
    """Let `fault` happen."""
    match fault:
        case Kill():
            fleet.kill(fault.name)
        case Freeze():
            fleet.signal(fault.name, signal.SIGSTOP)
        case Terminate():
            fleet.signal(fault.name, signal.SIGTERM)
        case StandInFault():
            fields = {"kind": fault.kind, "value": fault.value}
            fields |= {"count": fault.count, "mode": fault.mode}
            await _control(fleet, fault.name, "POST", "/faults", fields)
        case SubmissionRace():
            await submit_concurrently(fleet)
        case WithdrawKeys():
            await submit(fleet, without_keys(fleet.document, fault.organisation))


async def heal(fleet: launcher.Fleet, fault: Fault) -> None:
    """Undo `fault` and wait until its process serves again."""
    match fault:
        case Kill() | Terminate():
            await _ended(fleet, fault.name)
            fleet.start(fault.name)
            await fleet.wait_ready([fault.name])
        case Freeze():
            fleet.signal(fault.name, signal.SIGCONT)
            await fleet.wait_ready([fault.name])
        case StandInFault():
            await _control(fleet, fault.name, "DELETE", f"/faults?kind={fault.kind}")
        case SubmissionRace() | WithdrawKeys():
            await submit(fleet, fleet.document)


async def _ended(fleet: launcher.Fleet, name: str) -> None:
    while fleet.is_running(name):
        await anyio.sleep(launcher.POLL_SECONDS)


async def _control(
    fleet: launcher.Fleet, name: str, method: str, path: str, fields: dict[str, Any] | None = None
) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        url = fleet.control_url(name) + path
        answer = await pool.request(method, url, content=msgspec.json.encode(fields or {}))
    if answer.status != HTTP_OK:
        raise errors.ExperimentError(f"{name}: {answer.content.decode()}")


async def read_configuration(client: platform_client.PlatformClient) -> state.Configuration:
    """Return the configuration that the platform holds."""
    reading = loader.Loader()
    while reading.call is not None:
        reading.on_answer(await store_calls.perform(client, reading.call))
    if reading.result is None:
        raise errors.ExperimentError("no configuration in the platform's service")
    return reading.result.configuration


async def submit(fleet: launcher.Fleet, document: documents.Document) -> int:
    """Submit `document` and return the accepted revision, or the present one if equal."""
    client = platform_client.PlatformClient(fleet.platform_url)
    try:
        while True:
            outcome = await _submit(client, document)
            match outcome:
                case submission.Accepted(revision):
                    return revision
                case int():
                    return outcome
                case _:
                    await anyio.sleep(launcher.POLL_SECONDS)
    finally:
        await client.close()


async def _submit(
    client: platform_client.PlatformClient, document: documents.Document
) -> submission.Outcome | int | None:
    base = await read_configuration(client)
    change = submission.plan(base, document)
    if change.is_empty:
        return base.revision
    return await _carry(client, submission.Submission(change, uuid.uuid4().hex, "experiment"))


async def _carry(
    client: platform_client.PlatformClient, submitted: submission.Submission
) -> submission.Outcome | None:
    while submitted.call is not None:
        submitted.on_answer(await store_calls.perform(client, submitted.call))
    return submitted.outcome


async def submit_concurrently(fleet: launcher.Fleet) -> list[submission.Outcome | None]:
    """Let two operators submit on the same revision at once; return both outcomes."""
    client = platform_client.PlatformClient(fleet.platform_url)
    base = await read_configuration(client)
    outcomes: list[submission.Outcome | None] = []

    async def operator(weight: float) -> None:
        document = with_weight(fleet.document, weight + base.revision)
        change = submission.plan(base, document)
        one = submission.Submission(change, uuid.uuid4().hex, f"operator {weight:g}")
        outcomes.append(await _carry(client, one))

    async with anyio.create_task_group() as group:
        group.start_soon(operator, 2.0)
        group.start_soon(operator, 3.0)
    await client.close()
    return outcomes


def with_weight(document: documents.Document, weight: float) -> documents.Document:
    """Return `document` with another weight for every organisation."""
    return _with_organisations(document, weight=weight)


def without_keys(document: documents.Document, organisation: str) -> documents.Document:
    """Return `document` without the keys of `organisation`."""
    return _with_organisations(document, only=organisation, keys=())


def _with_organisations(
    document: documents.Document, only: str = "", **fields: Any
) -> documents.Document:
    def changed(item: objects.Object) -> objects.Object:
        if not isinstance(item, objects.Organisation) or (only and item.name != only):
            return item
        return msgspec.structs.replace(item, **fields)

    return documents.Document([changed(item) for item in document.objects])
