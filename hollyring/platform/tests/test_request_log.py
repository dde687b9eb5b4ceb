"""Tests of the log lines about the end of a request."""

import contextlib

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import clock, responses
from hollyring.platform import ingress
from hollyring.platform.tests import test_relay, test_silent_servers

start_vm = test_silent_servers.start_vm


@pytest.fixture
def ends(log_messages):
    """Return a function that returns the outcome and status of each logged end of a request."""
    return lambda: [
        (m["outcome"], m["status"]) for m in log_messages if m.get("text") == "request: ended"
    ]


@pytest.mark.anyio
async def test_answered_request_is_not_logged_again_as_left_by_its_caller(start_vm, ends):
    """The caller's connection is watched, and its watch ends the request once it is answered."""
    silent = test_silent_servers.PausingServer("i-0", 5.0)
    vm = await start_vm(
        silent, test_silent_servers.PausingServer("i-1"), **test_silent_servers.IDEMPOTENT
    )
    caller = test_relay.Caller()
    scope = anyio.CancelScope()

    async def send(message):
        await caller.send(message)
        if caller.ended:
            scope.cancel()

    response = responses.ResponseWriter(send, ingress.encode_refusal, lambda: False)
    request = request_types.Request(
        "r-1", b"POST", b"/x", "h", "/x", ((b"x-request-id", b"r-1"),), b"body", "key", 2.0
    )
    with scope, contextlib.suppress(responses.IncompleteResponseError):
        await vm.relay.serve(request, response)
    assert caller.status == 200
    assert ends() == [("answered", 200)]


@pytest.mark.anyio
async def test_logged_end_has_the_status_of_the_refusal(start_vm, ends):
    servers = [
        test_silent_servers.PausingServer(f"i-{number}", behaviour="refuse") for number in range(2)
    ]
    vm = await start_vm(*servers)
    assert (await vm.send_request()).status == 503
    assert [status for _, status in ends()] == [503]


@pytest.fixture
def gave_up(log_messages):
    """Return a function that returns the one logged reason why no further try was made."""

    def last():
        (line,) = [m for m in log_messages if m.get("text") == "request: no further try"]
        return line

    return last


RESUMABLE = test_silent_servers.RESUMABLE
IDEMPOTENT = test_silent_servers.IDEMPOTENT


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("route", "behaviour", "why"),
    [
        (RESUMABLE | {"attempts": 1}, "reset", "runs used up"),
        (test_silent_servers.AT_MOST_ONCE, "reset", "may run once"),
        (IDEMPOTENT | {"attempts": 3}, "reset", "no upstream"),
    ],
)
async def test_end_after_a_failed_try_is_logged_with_its_reason(
    start_vm, gave_up, route, behaviour, why
):
    vm = await start_vm(test_silent_servers.PausingServer("i-0", behaviour=behaviour), **route)
    await vm.send_request()
    line = gave_up()
    assert (line["why"], line["tried"], line["listed"]) == (why, ["i-0"], ["i-0"])
    assert line["runs_left"] == route.get("attempts", 2) - 1
    assert line["left"] > 1.0
    assert line["reached"]


@pytest.mark.anyio
async def test_end_for_want_of_retries_is_logged_with_the_budget(start_vm, gave_up):
    servers = [test_silent_servers.PausingServer(f"i-{n}", behaviour="reset") for n in range(2)]
    vm = await start_vm(*servers, **IDEMPOTENT)
    budget = vm.state.retries("s")
    while budget.try_retry(clock.now()):
        pass
    await vm.send_request()
    line = gave_up()
    assert line["why"] == "retry budget spent"
    assert line["retries_left"] < 1.0
    assert len(line["tried"]) == 1
    assert line["listed"] == ["i-0", "i-1"]
