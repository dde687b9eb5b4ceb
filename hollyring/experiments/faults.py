"""Injection and removal of faults in a fleet of real processes."""

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
    """A process is killed; healed by starting it again."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process is suspended (SIGSTOP); healed by resuming it (SIGCONT)."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """A VM is shut down gracefully (SIGTERM); healed by starting it again."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class StandInFault:
    """A fault is injected into a stand-in; healed by removing it.

    The fields are those of `hollyring.standins.asgi.Fault`; `name` is the stand-in.
    """

    name: str
    kind: str
    value: float = 0.0
    count: int = 0
    mode: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionRace:
    """Two operators submit different changes based on the same revision.

    Healed by submitting the declared configuration again.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKeys:
    """The keys of an organisation are withdrawn; healed by granting them again."""

    organisation: str


Fault = Kill | Freeze | Terminate | StandInFault | SubmissionRace | WithdrawKeys


async def inject(fleet: launcher.Fleet, fault: Fault) -> None:
    """Inject `fault`."""
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
            await _call_control(fleet, fault.name, "POST", "/faults", fields)
        case SubmissionRace():
            await submit_concurrently(fleet)
        case WithdrawKeys():
            await submit(fleet, without_keys(fleet.document, fault.organisation))


async def heal(fleet: launcher.Fleet, fault: Fault) -> None:
    """Remove `fault`; if it stopped a process, wait until that process serves again."""
    match fault:
        case Kill() | Terminate():
            await _wait_until_ended(fleet, fault.name)
            fleet.start(fault.name)
            await fleet.wait_ready([fault.name])
        case Freeze():
            fleet.signal(fault.name, signal.SIGCONT)
            await fleet.wait_ready([fault.name])
        case StandInFault():
            await _call_control(fleet, fault.name, "DELETE", f"/faults?kind={fault.kind}")
        case SubmissionRace() | WithdrawKeys():
            await submit(fleet, fleet.document)


async def _wait_until_ended(fleet: launcher.Fleet, name: str) -> None:
    while fleet.is_running(name):
        await anyio.sleep(launcher.POLL_SECONDS)


async def _call_control(
    fleet: launcher.Fleet, name: str, method: str, path: str, fields: dict[str, Any] | None = None
) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        url = fleet.control_url(name) + path
        response = await pool.request(method, url, content=msgspec.json.encode(fields or {}))
    if response.status != HTTP_OK:
        raise errors.ExperimentError(f"{name}: {response.content.decode()}")


async def read_configuration(client: platform_client.PlatformClient) -> state.Configuration:
    """Return the configuration stored by the platform.

    Raises
    ------
    ExperimentError
        If the platform stores no configuration.
    """
    configuration_loader = loader.Loader()
    while configuration_loader.call is not None:
        configuration_loader.on_answer(await store_calls.perform(client, configuration_loader.call))
    if configuration_loader.result is None:
        raise errors.ExperimentError("the platform stores no configuration")
    return configuration_loader.result.configuration


async def submit(fleet: launcher.Fleet, document: documents.Document) -> int:
    """Submit `document` until it is accepted, and return its revision.

    If it equals the current configuration, the current revision is returned.
    """
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
    return await _run_submission(
        client, submission.Submission(change, uuid.uuid4().hex, "experiment")
    )


async def _run_submission(
    client: platform_client.PlatformClient, submitted: submission.Submission
) -> submission.Outcome | None:
    while submitted.call is not None:
        submitted.on_answer(await store_calls.perform(client, submitted.call))
    return submitted.outcome


async def submit_concurrently(fleet: launcher.Fleet) -> list[submission.Outcome | None]:
    """Submit two changes based on the same revision concurrently and return both outcomes."""
    client = platform_client.PlatformClient(fleet.platform_url)
    base = await read_configuration(client)
    outcomes: list[submission.Outcome | None] = []

    async def operator(weight: float) -> None:
        document = with_weight(fleet.document, weight + base.revision)
        change = submission.plan(base, document)
        submitted = submission.Submission(change, uuid.uuid4().hex, f"operator {weight:g}")
        outcomes.append(await _run_submission(client, submitted))

    async with anyio.create_task_group() as group:
        group.start_soon(operator, 2.0)
        group.start_soon(operator, 3.0)
    await client.close()
    return outcomes


def with_weight(document: documents.Document, weight: float) -> documents.Document:
    """Return `document` with the weight of all organisations replaced."""
    return _with_organisations(document, weight=weight)


def without_keys(document: documents.Document, organisation: str) -> documents.Document:
    """Return `document` without the keys of `organisation`."""
    return _with_organisations(document, only=organisation, keys=())


def _with_organisations(
    document: documents.Document, only: str = "", **fields: Any
) -> documents.Document:
    def replace(item: objects.Object) -> objects.Object:
        if not isinstance(item, objects.Organisation) or (only and item.name != only):
            return item
        return msgspec.structs.replace(item, **fields)

    return documents.Document([replace(item) for item in document.objects])
