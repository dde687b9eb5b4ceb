"""One request inside the limits is served in calm, also alone at its largest and in odd forms."""

import asyncio

import pytest

from hollyring.platform.tests import crowds

pytestmark = pytest.mark.xdist_group("platform-processes")

HEADER_BYTES = 16_384
BODY_BYTES = 4_194_304
"""Limits of the configuration."""

ANSWER_SECONDS = 10.0
CHUNK = 65_536
OWN_FIELDS = 200
"""Bytes that leave room for the headers that each request has."""

BODY = b"x" * BODY_BYTES


def lines(line):
    return line * ((HEADER_BYTES - OWN_FIELDS) // len(line))


def in_chunks(size, body):
    return b"".join(
        b"%x\r\n%b\r\n" % (len(body[start : start + size]), body[start : start + size])
        for start in range(0, len(body), size)
    )


LENGTH = b"content-length: 4\r\n\r\nbody"
LARGEST = {
    "a long line": lambda start: start
    + b"x-a: "
    + b"x" * (HEADER_BYTES - OWN_FIELDS)
    + b"\r\n"
    + LENGTH,
    "short lines": lambda start: start + lines(b"ab:cd\r\n") + LENGTH,
    "empty lines": lambda start: start + lines(b"a:\r\n") + LENGTH,
    "a line break before": lambda start: b"\r\n" + start + LENGTH,
    "a long body": lambda start: start + b"content-length: %d\r\n\r\n" % BODY_BYTES + BODY,
    "a long body in chunks": lambda start: (
        start + crowds.CHUNKED + in_chunks(CHUNK, BODY) + b"0\r\n\r\n"
    ),
    "chunks of one byte": lambda start: (
        start + crowds.CHUNKED + in_chunks(1, b"x" * 200_000) + b"0\r\n\r\n"
    ),
    "chunks with extensions": lambda start: (
        start + crowds.CHUNKED + b"4;name=value\r\nbody\r\n" * 1_000 + b"0\r\n\r\n"
    ),
    "trailers": lambda start: (
        start + crowds.CHUNKED + crowds.ONE_CHUNK + b"0\r\n" + lines(b"ab:cd\r\n") + b"\r\n"
    ),
}


async def status_of(address, data, part_bytes=CHUNK):
    """Send a request in parts, and return the status of its answer."""
    async with asyncio.timeout(ANSWER_SECONDS):
        reader, writer = await asyncio.open_connection(*address)
        try:
            for start in range(0, len(data), part_bytes):
                writer.write(data[start : start + part_bytes])
                await writer.drain()
                await asyncio.sleep(0)
            return int((await reader.readline()).split(b" ")[1])
        finally:
            writer.close()


@pytest.mark.anyio
async def test_largest_requests_are_served_alone(tmp_path):
    async with crowds.serving(tmp_path) as (vm,), crowds.within_memory(vm):
        for name in ("callers", "directory"):
            address, start = crowds.address_of(vm, name), crowds.STARTS[name]
            statuses = {what: await status_of(address, LARGEST[what](start)) for what in LARGEST}
            assert statuses == dict.fromkeys(LARGEST, 200), name
        crowds.assert_within_memory(vm)


BYTE_BY_BYTE = b"\r\n%bx: y\r\n" + crowds.CHUNKED + crowds.ONE_CHUNK + b"0\r\nx: y\r\n\r\n"
"""A request with something of every stage: a line break, a head, a chunk and a trailer."""


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["callers", "directory"])
async def test_request_that_arrives_byte_by_byte_is_served(tmp_path, name):
    async with crowds.serving(tmp_path) as (vm,):
        data = BYTE_BY_BYTE % crowds.STARTS[name]
        assert await status_of(crowds.address_of(vm, name), data, part_bytes=1) == 200


@pytest.mark.anyio
@pytest.mark.parametrize("form", ["a header line without end", "chunks of one byte"])
async def test_largest_requests_are_served_beside_a_crowd_once_it_has_gone(tmp_path, form):
    async with crowds.serving(tmp_path) as (vm,):
        await crowds.play(vm, crowds.crowd(vm, "callers", form))
        assert await crowds.is_answered_in_time(vm)
        address, start = crowds.address_of(vm, "callers"), crowds.STARTS["callers"]
        for what in ("short lines", "a long body"):
            assert await status_of(address, LARGEST[what](start)) == 200
