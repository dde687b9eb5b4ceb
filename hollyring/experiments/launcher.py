"""Starts a deployment as separate processes on loopback, from its configuration.

The launcher is a tool of the experiments and no part of the system: each VM and each stand-in is
a process of its own and starts no other.
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
from hollyring.experiments import errors
from hollyring.node import platform_client, store_calls

CONTROL_PORT_OFFSET = 50
"""A stand-in's control port is its port plus this."""

PLATFORM_PORT_OFFSET = 600
READY_SECONDS = 30.0
POLL_SECONDS = 0.05
STOP_SECONDS = 10.0
PEER_KEY = "demonstration-peer-key"
SEEDS = 3
LEAVE_SECONDS = 0.5
"""Callers of an experiment keep their answers no longer once it ends."""

PORTS_PER_FLEET = 700


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """How the stand-in language servers behave."""

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
    """One process of the fleet.

    Parameters
    ----------
    name
        Name of the VM or upstream, or ``"platform"``.
    ready_url
        Answers 200 once the process serves.
    """

    name: str
    arguments: list[str]
    ready_url: str
    process: subprocess.Popen[bytes] | None = None


class Fleet:
    """The processes of one deployment.

    Parameters
    ----------
    document
        The declared configuration; it names every process and address.
    folder
        Where settings and logs of the processes go.
    platform_port
        Port of the platform stand-in; its control port is `CONTROL_OFFSET` above.
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
        self._folder = folder
        self._engine_options = engine_options or EngineOptions()
        self._vm_settings = vm_settings or {}
        self._models = {m.name: m.version for m in self._of(objects.Model)}
        self.programs = {program.name: program for program in self._programs(platform_port)}

    @property
    def vms(self) -> list[objects.VM]:
        """The VMs of the roster."""
        return self._of(objects.VM)

    @property
    def upstreams(self) -> list[objects.Upstream]:
        """The upstreams."""
        return self._of(objects.Upstream)

    def _of(self, type_: type) -> list[Any]:
        return [item for item in self.document.objects if isinstance(item, type_)]

    def _programs(self, platform_port: int) -> Iterator[Program]:
        yield self._standin("platform", "platform", platform_port)
        for upstream in self.upstreams:
            port = urllib.parse.urlsplit(upstream.address).port or 0
            yield self._upstream(upstream, port)
        for vm in self.vms:
            path = self._folder / f"{vm.name}.json"
            path.write_text(json.dumps(self._settings(vm), indent=2))
            url = f"http://{vm.admin_address}/ready"
            yield Program(vm.name, ["serve", str(path)], url)

    def _settings(self, vm: objects.VM) -> dict[str, object]:
        return {
            "name": vm.name,
            "region": vm.region,
            "failure_domain": vm.failure_domain,
            "caller_address": vm.caller_address,
            "peer_address": vm.peer_address,
            "admin_address": vm.admin_address,
            "platform": self.platform_url,
            "peer_keys": [PEER_KEY],
            "seeds": [other.peer_address for other in self.vms[:SEEDS]],
            "log_file": str(self._folder / f"{vm.name}.log"),
            "limits": {"leave_seconds": LEAVE_SECONDS},
            **self._vm_settings,
        }

    def _upstream(self, upstream: objects.Upstream, port: int) -> Program:
        match upstream.kind:
            case "engine":
                given = self._engine_options
                extra = ["--name", upstream.name]
                for model in upstream.models:
                    extra += ["--model", f"{model}={self._models[model]}"]
                for field in dataclasses.fields(given):
                    option = "--" + field.name.replace("_", "-")
                    extra += [option, str(getattr(given, field.name))]
                extra += ["--checks-fencing" if upstream.checks_fencing else "--ignores-fencing"]
                return self._standin(upstream.name, "engine", port, extra)
            case "cache_store":
                return self._standin(upstream.name, "cache-store", port)
            case _:
                ledger = self._folder / f"{upstream.name}.ledger"
                return self._standin(upstream.name, "service", port, ["--ledger", str(ledger)])

    def _standin(self, name: str, kind: str, port: int, extra: list[str] | None = None) -> Program:
        control = port + CONTROL_PORT_OFFSET
        arguments = ["standin", kind, "--port", str(port), "--control-port", str(control)]
        return Program(name, arguments + (extra or []), f"http://127.0.0.1:{control}/counters")

    def control_url(self, name: str) -> str:
        """Return the control port's URL of a stand-in."""
        return self.programs[name].ready_url.removesuffix("/counters")

    async def start_all(self) -> None:
        """Start the platform, submit the configuration, start the rest and wait until all serve."""
        self.start("platform")
        await self.wait_ready(["platform"])
        await self.submit()
        others = [name for name in self.programs if name != "platform"]
        for name in others:
            self.start(name)
        await self.wait_ready(others)

    async def submit(self) -> None:
        """Submit the declared configuration as the first revision."""
        client = platform_client.PlatformClient(self.platform_url)
        change = submission.plan(state.Configuration(), self.document)
        submitted = submission.Submission(change, uuid.uuid4().hex, "launcher")
        while submitted.call is not None:
            submitted.on_answer(await store_calls.perform(client, submitted.call))
        await client.close()
        if not isinstance(submitted.outcome, submission.Accepted):
            raise errors.ExperimentError(f"configuration not accepted: {submitted.outcome}")

    def start(self, name: str) -> None:
        """Start one process."""
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
        """Send a signal to one process."""
        process = self.programs[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process at once."""
        self.signal(name, signal.SIGKILL)
        process = self.programs[name].process
        if process is not None:
            process.wait()

    def is_running(self, name: str) -> bool:
        """Tell whether a process runs."""
        process = self.programs[name].process
        return process is not None and process.poll() is None

    def stop(self) -> None:
        """Stop all processes, first by SIGTERM."""
        for name in self.programs:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for program in self.programs.values():
            if program.process is None:
                continue
            try:
                program.process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                program.process.kill()
                program.process.wait()

    async def wait_ready(self, names: list[str]) -> None:
        """Return once all of `names` serve.

        Raises
        ------
        ExperimentError
            If one has ended or does not serve within `READY_SECONDS`.
        """
        async with httpcore.AsyncConnectionPool() as pool:
            with anyio.move_on_after(READY_SECONDS) as scope:
                for name in names:
                    await self._wait(pool, name)
            if scope.cancelled_caught:
                raise errors.ExperimentError(f"not ready: {name}")

    async def _wait(self, pool: httpcore.AsyncConnectionPool, name: str) -> None:
        program = self.programs[name]
        while True:
            if not self.is_running(name):
                raise errors.ExperimentError(f"{name} ended: see {self._folder}/{name}.out")
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError, OSError):
                if (await pool.request("GET", program.ready_url)).status == 200:
                    return
            await anyio.sleep(POLL_SECONDS)


_reserved: list[socket.socket] = []
"""Sockets that keep the ports of this process's fleets from other launchers."""


def free_base_port(first: int = 20_000, last: int = 32_000) -> int:
    """Return a base port from which a fleet's ports are free, and reserve them.

    Raises
    ------
    ExperimentError
        If there are none. Ports that the system gives to outgoing connections lie above `last`.
    """
    for base in range(first, last, PORTS_PER_FLEET):
        offsets = range(0, PORTS_PER_FLEET - CONTROL_PORT_OFFSET, CONTROL_PORT_OFFSET)
        if _reserve(base + PORTS_PER_FLEET - 1) and all(_free(base + o) for o in offsets):
            return base
    raise errors.ExperimentError(f"no free ports between {first} and {last}")


def _reserve(port: int) -> bool:
    holder = socket.socket()
    try:
        holder.bind(("127.0.0.1", port))
        holder.listen()
    except OSError:
        holder.close()
        return False
    _reserved.append(holder)
    return True


def _free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0
