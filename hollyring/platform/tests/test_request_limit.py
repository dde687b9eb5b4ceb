"""Tests that an upstream that names a request limit gets no more, and about as much."""

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import clock, exchanges
from hollyring.platform import upstreams
from hollyring.platform.tests import test_relay, test_upstream_backoff

LIMIT = 4.0
SECONDS = 4.0
GRACE_SECONDS = 0.5
"""Time after the first answer that names a limit within which requests under way may arrive."""

start_vm = test_relay.start_vm


def arrivals_after_naming(server, seconds):
    first = server.requests[0].arrived_at
    return test_upstream_backoff.arrivals(server, first + GRACE_SECONDS, first + seconds)


@pytest.mark.anyio
@pytest.mark.parametrize("streaming", [False, True])
async def test_upstream_gets_no_more_requests_than_the_limit_that_it_names(start_vm, streaming):
    vm, servers = await start_vm(
        "complete",
        "complete",
        retry_safety=request_types.RetrySafety.IDEMPOTENT,
        streaming=streaming,
    )
    servers[0].request_limit = LIMIT
    servers[1].delay_seconds = 0.05
    callers = await test_upstream_backoff.send_steadily(vm, SECONDS, interval=0.02)
    received = arrivals_after_naming(servers[0], SECONDS)
    print("requests at the limited upstream:", received)
    assert {caller.status for caller in callers} == {200}
    assert received <= LIMIT * (SECONDS - GRACE_SECONDS) + 3
    assert received >= 0.7 * LIMIT * (SECONDS - GRACE_SECONDS)


@pytest.mark.anyio
async def test_upstream_that_names_no_limit_any_more_gets_its_usual_share(start_vm):
    vm, servers = await start_vm(
        "complete",
        "complete",
        retry_safety=request_types.RetrySafety.RESUMABLE,
        streaming=True,
    )
    servers[0].request_limit = LIMIT
    servers[1].delay_seconds = 0.05
    await test_upstream_backoff.send_steadily(vm, 1.5, interval=0.02)
    servers[0].request_limit = None
    ended_at = clock.now()
    await test_upstream_backoff.send_steadily(vm, 1.5, interval=0.02)
    assert test_upstream_backoff.arrivals(servers[0], ended_at + 0.5, ended_at + 1.5) > 10


@pytest.mark.anyio
async def test_callers_beyond_the_limit_of_the_only_upstream_are_refused_at_once(start_vm):
    vm, servers = await start_vm("complete", retry_safety=request_types.RetrySafety.IDEMPOTENT)
    servers[0].request_limit = LIMIT
    assert (await vm.send_request("r-first")).status == 200
    began_at = clock.now()
    with anyio.fail_after(0.5):
        callers = [await vm.send_request(f"r-{number}") for number in range(10)]
    delays = [float(caller.headers[b"retry-after"]) for caller in callers]
    assert {caller.status for caller in callers} == {503}
    assert 0.1 <= max(delays) <= 2.0
    await anyio.sleep(began_at + max(delays) - clock.now())
    assert (await vm.send_request("r-returned")).status == 200


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"2.4", 2.4), (b" 3 ", 3.0), (b".5", 0.5), (b"0", 0.0), (b"-1", 0.0), (b"many", 0.0)],
)
def test_limit_in_an_answer_is_decoded_and_an_unreadable_one_counts_as_the_lowest(value, expected):
    head = exchanges.ResponseHead(200, [(b"server-limit", value)])
    assert upstreams.HttpUpstreamCodec().decode_head(head).request_limit == expected


def test_answer_without_a_limit_names_none():
    head = exchanges.ResponseHead(200, [(b"x-request-id", b"r-1")])
    assert upstreams.HttpUpstreamCodec().decode_head(head).request_limit is None


@pytest.mark.parametrize(("value", "expected"), [(b"3", 3.0), (b" 1.5 ", 1.5), (b"few", 0.0)])
def test_rejections_that_a_server_stands_are_decoded_apart_from_its_request_limit(value, expected):
    head = exchanges.ResponseHead(503, [(b"server-brittle", value)])
    decoded = upstreams.HttpUpstreamCodec().decode_head(head)
    assert (decoded.rejection_limit, decoded.request_limit) == (expected, None)
