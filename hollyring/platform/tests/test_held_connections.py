"""Connections that clients open and hold, with a message that they have begun and never end.

The crowd holds more connections than the descriptors of the settings bear, and opens another one
for each that the VM closes. Ordinary requests are answered beside it.
"""

import asyncio
import contextlib
import resource
import time

import pytest

from hollyring.platform.tests import crowds, test_crowds, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

HOLDERS = 300
HOLD_SECONDS = 4.0
DESCRIPTORS = 400
"""Descriptors in the settings, and those that the process has."""

LONG = 60_000
LONG_BODY = 120_000
BODY = b"content-length: 4000000\r\n\r\n" + b"x" * LONG_BODY

HELD = {
    "nothing": lambda start: b"",
    "half a head": lambda start: start + b"ab: cd\r\n" * 400,
    "a long header line": lambda start: start + b"x-long: " + b"x" * LONG,
    "a long target": lambda start: start.partition(b" HTTP")[0] + b"x" * LONG,
    "half a body": lambda start: start + BODY,
    "a long chunk line": lambda start: start + crowds.CHUNKED + b"1;x=" + b"x" * LONG,
    "a long trailer line": lambda start: (
        start + crowds.CHUNKED + crowds.ONE_CHUNK + b"0\r\nx-long: " + b"x" * LONG
    ),
    "half a body behind a request": lambda start: start
    + b"content-length: 0\r\n\r\n"
    + start
    + BODY,
}

PLAYS = [(name, what) for name in ("callers", "directory") for what in HELD]


async def hold_one(address, until, data):
    """Send some bytes and nothing more, again on another connection when one was closed."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            with contextlib.closing(writer):
                async with asyncio.timeout(until - time.monotonic()):
                    writer.write(data)
                    await reader.read()
        await asyncio.sleep(0.05)


def limit_descriptors(vm):
    """Restart a VM with few descriptors in its settings, which the kernel enforces."""
    text = vm.settings_path.read_text()
    vm.settings_path.write_text(f"{text}\nmax_fds = {DESCRIPTORS}\n")  # of the section "limits"
    vm.process.kill()
    vm.process.wait()
    vm.start()
    resource.prlimit(vm.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def holders(vm, name, data):
    until = time.monotonic() + HOLD_SECONDS
    address = crowds.address_of(vm, name)
    return [hold_one(address, until, data) for _ in range(HOLDERS)]


@pytest.mark.anyio
@pytest.mark.parametrize(("name", "what"), PLAYS)
async def test_ordinary_requests_are_answered_beside_connections_that_are_held(
    tmp_path, name, what
):
    async with crowds.serving(tmp_path) as (vm,), crowds.within_memory(vm):
        limit_descriptors(vm)
        await vm.wait_ready()
        data = HELD[what](crowds.STARTS[name])
        playing = asyncio.create_task(crowds.play(vm, holders(vm, name, data)))
        await asyncio.sleep(HOLD_SECONDS / 4)
        answered = [await _is_answered(vm) for _ in range(5)]
        await playing
        crowds.assert_within_memory(vm)
        assert await crowds.is_answered_in_time(vm)
        crowds.assert_within_memory(vm)
        assert any(answered)


async def _is_answered(vm):
    with contextlib.suppress(Exception):
        async with asyncio.timeout(crowds.TRY_SECONDS * 2):
            return await crowds.is_answered(vm)
    return False


@pytest.mark.anyio
async def test_vm_whose_descriptors_the_directorys_clients_take_outlasts_another_vms_start(
    tmp_path,
):
    """The connection of the other VM was accepted without a descriptor, which ended the process."""
    async with crowds.serving(tmp_path, vms=2) as vms:
        first, second = vms
        second.process.kill()
        second.process.wait()
        limit_descriptors(first)
        await first.wait_ready()
        calls = holders(first, "directory", crowds.STARTS["directory"])
        calls += holders(first, "callers", crowds.STARTS["callers"])
        playing = asyncio.create_task(crowds.play(first, calls))
        await asyncio.sleep(HOLD_SECONDS / 4)
        second.start()
        await playing
        await second.wait_ready()
        crowds.assert_within_memory(first)
        assert await crowds.is_answered_in_time(first)
        assert await crowds.is_answered_in_time(second)


@pytest.mark.anyio
async def test_connections_to_the_port_of_other_vms_do_not_end_a_vm(tmp_path):
    async with crowds.serving(tmp_path) as (vm,), crowds.within_memory(vm):
        limit_descriptors(vm)
        await vm.wait_ready()
        port = int(vm.metrics_url.split("/")[2].partition(":")[2]) - 1
        until = time.monotonic() + HOLD_SECONDS
        data = b"\x00\x10" * 50_000
        calls = [hold_one(("127.0.0.1", port), until, data) for _ in range(2 * HOLDERS)]
        playing = asyncio.create_task(crowds.play(vm, calls))
        await asyncio.sleep(HOLD_SECONDS / 4)
        answered = [await _is_answered(vm) for _ in range(5)]
        await playing
        crowds.assert_within_memory(vm)
        assert await crowds.is_answered_in_time(vm)
        assert any(answered)


@pytest.mark.anyio
async def test_stop_in_the_middle_of_a_crowd_ends_in_its_grace_period(tmp_path):
    async with crowds.serving(tmp_path) as (vm,), crowds.within_memory(vm):
        calls = holders(vm, "callers", HELD["half a head"](crowds.STARTS["callers"]))
        calls += crowds.crowd(vm, "callers", "chunks of one byte")
        calls += crowds.crowd(vm, "callers", "requests ahead")
        calls += crowds.crowd(vm, "directory", "a trailer line without end")
        playing = asyncio.create_task(crowds.play(vm, calls))
        await asyncio.sleep(test_crowds.PLAY_SECONDS / 3)
        assert vm.process.poll() is None
        vm.process.terminate()
        await playing
        await asyncio.to_thread(vm.process.wait, 2 * test_process.START_SECONDS)
        assert vm.process.returncode == 0
        assert "vm: stopped" in [line.get("text") for line in vm.log_lines()]
