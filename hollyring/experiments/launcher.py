"""Launcher that runs a deployment as separate processes on loopback.

The launcher belongs to the experiments and is not part of the router: each VM and each stand-in
is a single process that starts no child processes.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.parse
import uuid
from collections.abc import Iterator
from typing import Any

import anyio
import httpcore

from hollyring.configuration import documents, objects, state, submission
from hollyring.experiments import errors, port_ranges
from hollyring.node import platform_client, store_calls

CONTROL_PORT_OFFSET = 50
"""Offset of the control port of a stand-in from its main port."""

PLATFORM_PORT_OFFSET = 600
"""Offset of the platform's port from the base port of a fleet."""

READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 10.0
PEER_KEY = "demonstration-peer-key"
SEED_COUNT = 3
"""Number of VMs whose peer addresses each VM gets at its start."""

LEAVE_SECONDS = 0.5
"""Time for which a leaving VM still serves callers that cached its address.

It is shorter than the default, as no caller uses a cached address after an experiment ends.
"""

PORTS_PER_FLEET = 700
"""Size of a port range: covers the control port of the platform, the highest one in use."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Command-line options of the inference server stand-ins; each field is passed as a flag.

    The help of ``hollyring standin engine`` explains the flags and their units.
    """

    speed: float = 1.0
    prefill: float = 8_000.0
    decode: float = 0.02
    max_running: int = 32
    cache_blocks: int = 2_000
    cache_idle: float = 30.0
    event_lag: float = 0.2
    load_lag: float = 0.5


@dataclasses.dataclass(slots=True)
class Program:
    """A process of the fleet.

    Parameters
    ----------
    name
        Name of the VM or upstream, or ``"platform"``.
    ready_url
        URL that returns 200 once the process serves requests.
    arguments
        Command-line arguments after the `hollyring` command.
    """

    name: str
    arguments: list[str]
    ready_url: str
    process: subprocess.Popen[bytes] | None = None


class Fleet:
    """The processes of a deployment.

    Parameters
    ----------
    document
        Declared configuration, which determines the processes and their addresses.
    folder
        Directory for settings files and logs of the processes.
    platform_port
        Port of the platform stand-in; its control port is higher by `CONTROL_PORT_OFFSET`.
    engine_options
        Options of all inference server stand-ins.
    vm_settings
        Settings that override the generated settings of each VM.
    """

    def __init__(
        self,
        document: documents.Document,
        folder: pathlib.Path,
        platform_port: int,
        engine_options: EngineOptions | None = None,
        vm_settings: dict[str, object] | None = None,
    ) -> None:
        self.document = document
        self.command = [sys.executable, "-m", "hollyring"]
        self.platform_url = f"http://127.0.0.1:{platform_port}"
        self._base_port = platform_port - PLATFORM_PORT_OFFSET
        self._folder = folder
        self._engine_options = engine_options or EngineOptions()
        self._extra_vm_settings = vm_settings or {}
        self._models = {m.name: m.version for m in self._objects_of_type(objects.Model)}
        self.programs = {program.name: program for program in self._create_programs(platform_port)}

    @property
    def vms(self) -> list[objects.VM]:
        """VMs of the configuration."""
        return self._objects_of_type(objects.VM)

    @property
    def upstreams(self) -> list[objects.Upstream]:
        """Upstreams of the configuration."""
        return self._objects_of_type(objects.Upstream)

    def _objects_of_type(self, type_: type) -> list[Any]:
        return [item for item in self.document.objects if isinstance(item, type_)]

    def _create_programs(self, platform_port: int) -> Iterator[Program]:
        yield self._standin_program("platform", "platform", platform_port)
        for upstream in self.upstreams:
            port = urllib.parse.urlsplit(upstream.address).port or 0
            yield self._upstream_program(upstream, port)
        for vm in self.vms:
            path = self._folder / f"{vm.name}.json"
            path.write_text(json.dumps(self._build_vm_settings(vm), indent=2))
            url = f"http://{vm.admin_address}/ready"
            yield Program(vm.name, ["serve", str(path)], url)

    def _build_vm_settings(self, vm: objects.VM) -> dict[str, object]:
        return {
            "name": vm.name,
            "region": vm.region,
            "failure_domain": vm.failure_domain,
            "caller_address": vm.caller_address,
            "peer_address": vm.peer_address,
            "admin_address": vm.admin_address,
            "platform": self.platform_url,
            "peer_keys": [PEER_KEY],
            "seeds": [other.peer_address for other in self.vms[:SEED_COUNT]],
            "log_file": str(self._folder / f"{vm.name}.log"),
            "limits": {"leave_seconds": LEAVE_SECONDS},
            **self._extra_vm_settings,
        }

    def _upstream_program(self, upstream: objects.Upstream, port: int) -> Program:
        match upstream.kind:
            case "engine":
                options = self._engine_options
                extra = ["--name", upstream.name]
                for model in upstream.models:
                    extra += ["--model", f"{model}={self._models[model]}"]
                for field in dataclasses.fields(options):
                    option = "--" + field.name.replace("_", "-")
                    extra += [option, str(getattr(options, field.name))]
                extra += ["--checks-fencing" if upstream.checks_fencing else "--ignores-fencing"]
                return self._standin_program(upstream.name, "engine", port, extra)
            case "cache_store":
                return self._standin_program(upstream.name, "cache-store", port)
            case _:
                ledger = self._folder / f"{upstream.name}.ledger"
                return self._standin_program(
                    upstream.name, "service", port, ["--ledger", str(ledger)]
                )

    def _standin_program(
        self, name: str, kind: str, port: int, extra: list[str] | None = None
    ) -> Program:
        control = port + CONTROL_PORT_OFFSET
        arguments = ["standin", kind, "--port", str(port), "--control-port", str(control)]
        return Program(name, arguments + (extra or []), f"http://127.0.0.1:{control}/counters")

    def control_url(self, name: str) -> str:
        """Return the base URL of the control port of a stand-in."""
        return self.programs[name].ready_url.removesuffix("/counters")

    async def start_all(self) -> None:
        """Start all processes, submit the configuration and wait until all processes serve."""
        self.start("platform")
        await self.wait_ready(["platform"])
        await self.submit()
        remaining = [name for name in self.programs if name != "platform"]
        for name in remaining:
            self.start(name)
        await self.wait_ready(remaining)

    async def submit(self) -> None:
        """Submit the declared configuration as the first revision.

        Raises
        ------
        ExperimentError
            If the submission is not accepted.
        """
        client = platform_client.PlatformClient(self.platform_url)
        change = submission.plan(state.Configuration(), self.document)
        submitted = submission.Submission(change, uuid.uuid4().hex, "launcher")
        while submitted.call is not None:
            submitted.on_answer(await store_calls.perform(client, submitted.call))
        await client.close()
        if not isinstance(submitted.outcome, submission.Accepted):
            raise errors.ExperimentError(f"configuration was not accepted: {submitted.outcome}")

    def start(self, name: str) -> None:
        """Start a process; its output is appended to ``NAME.out`` in the folder."""
        program = self.programs[name]
        log = (self._folder / f"{name}.out").open("ab")
        with log:
            program.process = subprocess.Popen(
                [*self.command, *program.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        process = self.programs[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.signal(name, signal.SIGKILL)
        process = self.programs[name].process
        if process is not None:
            process.wait()

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self.programs[name].process
        return process is not None and process.poll() is None

    def stop(self) -> None:
        """Stop all processes with SIGTERM, and with SIGKILL after `STOP_TIMEOUT_SECONDS`.

        The port range is released if `free_base_port` had reserved it.
        """
        for name in self.programs:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for program in self.programs.values():
            if program.process is None:
                continue
            try:
                program.process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                program.process.kill()
                program.process.wait()
        port_ranges.release(self._base_port)

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until all processes in `names` serve.

        Raises
        ------
        ExperimentError
            If a process has exited, or does not serve within `READY_TIMEOUT_SECONDS`.
        """
        async with httpcore.AsyncConnectionPool() as pool:
            with anyio.move_on_after(READY_TIMEOUT_SECONDS) as scope:
                for name in names:
                    await self._wait_until_ready(pool, name)
            if scope.cancelled_caught:
                raise errors.ExperimentError(f"{name} did not become ready in time")

    async def _wait_until_ready(self, pool: httpcore.AsyncConnectionPool, name: str) -> None:
        program = self.programs[name]
        while True:
            if not self.is_running(name):
                raise errors.ExperimentError(f"{name} exited: see {self._folder}/{name}.out")
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError, OSError):
                if (await pool.request("GET", program.ready_url)).status == 200:
                    return
            await anyio.sleep(POLL_SECONDS)


def free_base_port(first: int = 20_000, last: int = 32_000) -> int:
    """Return the base port of a free port range for a fleet, and reserve it until the fleet stops.

    The default of `last` lies below the ephemeral ports of outgoing connections. Only the last
    port of a range and those at multiples of `CONTROL_PORT_OFFSET` are probed.

    Raises
    ------
    ExperimentError
        If no range is free.
    """
    bases = range(first, last, PORTS_PER_FLEET)
    base = port_ranges.reserve(bases, PORTS_PER_FLEET, _is_free)
    if base is None:
        raise errors.ExperimentError(f"no free port range between {first} and {last}")
    return base


def _is_free(base: int) -> bool:
    offsets = range(0, PORTS_PER_FLEET - CONTROL_PORT_OFFSET, CONTROL_PORT_OFFSET)
    return not any(_is_listening(base + offset) for offset in offsets)


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0
