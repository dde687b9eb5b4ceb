"""Clients that keep to no limits, at any address of a VM process, and the bounds of the VM.

The crowd is that of `test_crowds`: its size, its time and the memory of the VM are the same.
"""

import asyncio
import contextlib
import pathlib
import resource
import time

from hollyring.platform.tests import conftest, test_crowds, test_held_bytes, test_process

MEMORY_BYTES = test_crowds.MEMORY_MB * test_crowds.MEGABYTE
MEMORY_CHECK_SECONDS = 0.02
TRIES = 20
TRY_SECONDS = 0.5
PAGE_BYTES = resource.getpagesize()
CHUNK = test_crowds.CHUNK
SHORT_LINE = test_crowds.SHORT_LINE
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
ONE_CHUNK = b"1\r\nx\r\n"

STARTS = {
    "callers": test_crowds.NAMED % 1,
    "directory": b"GET /hollyring/resolve?name=h.example HTTP/1.1\r\nhost: x\r\n",
    "health": b"GET /hollyring/ready HTTP/1.1\r\nhost: x\r\n",
    "metrics": b"GET /metrics HTTP/1.1\r\nhost: x\r\n",
}
"""First lines of a request at each address, without the end of its head."""


def address_of(vm, name):
    """Return host and port of one of the addresses in `STARTS`."""
    urls = {
        "callers": vm.caller_url,
        "directory": vm.entry_url,
        "health": vm.health_url,
        "metrics": vm.metrics_url,
    }
    host, _, port = urls[name].split("/")[2].partition(":")
    return host, int(port)


async def repeat(writer, data):
    """Send the same bytes again and again."""
    while True:
        writer.write(data)
        await writer.drain()


async def send_head_without_end(writer, start, line):
    writer.write(start)
    await repeat(writer, line * 1_000)


async def send_line_without_end(writer, start, line):
    writer.write(start + line)
    await repeat(writer, b"x" * CHUNK)


async def send_target_without_end(writer, start):
    writer.write(start.partition(b" HTTP")[0])
    await repeat(writer, b"x" * CHUNK)


async def send_bytes(writer, start, data):
    await repeat(writer, data)


async def send_heads(writer, start, line, count):
    await repeat(writer, start + line * count + b"content-length: 4\r\n\r\nbody")


async def send_ahead(writer, start):
    request = start + b"\r\n"
    await repeat(writer, request * (CHUNK // len(request)))


async def send_chunked(writer, start, begin, data):
    """Send a chunked body that begins and goes on with some bytes."""
    writer.write(start + CHUNKED + begin)
    await repeat(writer, data)


async def send_body_without_end(writer, start):
    writer.write(start + b"content-length: 1000000000000\r\n\r\n")
    await repeat(writer, b"x" * CHUNK)


async def leave_at_once(writer, start):
    """Send nothing."""


FORMS = {
    "heads without end": (send_head_without_end, SHORT_LINE),
    "odd heads without end": (send_head_without_end, test_crowds.ODD_LINE),
    "a header line without end": (send_line_without_end, b"x-long: "),
    "a header name without end": (send_line_without_end, b"x-"),
    "a target without end": (send_target_without_end,),
    "empty lines without end": (send_bytes, b"\r\n" * 32_768),
    "no HTTP": (send_bytes, b"\x16\x03\x01\x02\x00\x01" * 10_000),
    "legal heads of short lines": (send_heads, b"ab:cd\r\n", 2_200),
    "heads over the limit": (send_heads, b"ab:cd\r\n", 6_000),
    "requests ahead": (send_ahead,),
    "chunks of one byte": (send_chunked, b"", ONE_CHUNK * 5_000),
    "trailers without end": (send_chunked, ONE_CHUNK + b"0\r\n", SHORT_LINE * 5_000),
    "a trailer line without end": (send_chunked, ONE_CHUNK + b"0\r\nx-long: ", b"x" * CHUNK),
    "a chunk line without end": (send_chunked, b"1;x=", b"x" * CHUNK),
    "a chunk size without end": (send_chunked, b"", b"0" * CHUNK),
    "a body without end": (send_body_without_end,),
    "connections that close at once": (leave_at_once,),
}
"""What a client sends on one connection, after `(writer, start)` of the address."""


def resident_bytes(vm):
    """Return the memory of a process, 0 if it has ended."""
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        return (
            int(pathlib.Path(f"/proc/{vm.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES
        )
    return 0


async def end_above_memory(vm):
    """Do what the machine does: kill a process that takes more memory than there is."""
    while resident_bytes(vm) <= MEMORY_BYTES:
        await asyncio.sleep(MEMORY_CHECK_SECONDS)
    vm.process.kill()


@contextlib.asynccontextmanager
async def within_memory(*vms):
    """Kill a VM that takes more memory than its settings name, as long as the context lasts."""
    tasks = [asyncio.create_task(end_above_memory(vm)) for vm in vms]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def call_until(address, until, send, *arguments):
    """Send on one connection after the other until a time, each when its last one was closed."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            _, writer = await asyncio.open_connection(*address, limit=1024)
            with contextlib.closing(writer):
                async with asyncio.timeout(until - time.monotonic()):
                    await send(writer, *arguments)
        await asyncio.sleep(0.01)


async def play(vm, calls):
    """Run coroutines of clients to their end; return the most descriptors that the VM had."""
    most = 0
    tasks = [asyncio.create_task(call) for call in calls]
    while not all(task.done() for task in tasks):
        most = max(most, test_crowds.descriptors(vm))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return most


def crowd(vm, name, form):
    """Return a crowd's coroutines at one address."""
    send, *arguments = FORMS[form]
    until = time.monotonic() + test_crowds.PLAY_SECONDS
    address, start = address_of(vm, name), STARTS[name]
    return [call_until(address, until, send, start, *arguments) for _ in range(test_crowds.CROWD)]


async def is_answered(vm, number=0):
    """Return whether one ordinary request and one to each other address are answered."""
    if (await test_process.post(vm, f"ordinary-{number}")).status != 200:
        return False
    urls = (vm.entry_url, vm.health_url, vm.metrics_url)
    return [await test_process.get_status(url) for url in urls] == [200, 200, 200]


async def is_answered_in_time(vm):
    """Return whether ordinary requests are answered after some tries at the latest."""
    for number in range(TRIES):
        with contextlib.suppress(Exception):
            async with asyncio.timeout(TRY_SECONDS * TRIES):
                if await is_answered(vm, number):
                    return True
        await asyncio.sleep(TRY_SECONDS)
    return False


def server():
    """Return a server that takes as long as in `test_crowds`."""
    standin = conftest.ServerStandIn("i-1")
    standin.delay_seconds = test_crowds.SERVER_SECONDS
    return standin


def serving(tmp_path, servers=None, vms=1):
    """Return a context with VMs of the memory in `test_crowds`, beside one such server."""
    return test_held_bytes.serving(tmp_path, servers or [server()], test_crowds.MEMORY_MB, vms)


def assert_within_memory(vm):
    """Check that a VM lives and has never had more memory than its settings name."""
    assert vm.process.poll() is None, "the process has ended"
    assert test_held_bytes.peak_bytes(vm) <= MEMORY_BYTES
