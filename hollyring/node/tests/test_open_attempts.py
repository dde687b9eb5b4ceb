"""Tests of attempts that are closed while they are about to be sent."""

import anyio
import pytest

from hollyring.node import open_attempts
from hollyring.routing import registry, selection


def make_place(name):
    entry = registry.Entry(name, "s", "127.0.0.1:1", "dar-a", 8, False, 1, {}, "v1")
    return selection.Selection(registry.Upstream(entry, {}))


@pytest.mark.anyio
@pytest.mark.parametrize("is_started", [False, True])
async def test_attempt_that_was_closed_as_not_sent_is_not_sent_afterwards(is_started):
    recorded = {}
    released = anyio.Event()

    async def go_on(attempt):
        await released.wait()
        attempt.take_over()
        await anyio.sleep(0.01)

    async def send(attempt):
        if is_started:
            await released.wait()
        attempt.begin_send()
        await anyio.sleep(1.0)

    def record(attempt):
        recorded[attempt.where] = attempt.sent

    async with anyio.create_task_group() as task_group:
        attempts = open_attempts.OpenAttempts(task_group, record, False)
        attempts.start(make_place("i-0"), go_on)
        await anyio.sleep(0.01)
        if is_started:
            attempts.start(make_place("i-1"), send)
            await anyio.sleep(0.01)
            released.set()
        else:
            released.set()
            attempts.start(make_place("i-1"), send)
        other = attempts.open[-1]
        await anyio.sleep(0.05)
        task_group.cancel_scope.cancel()
    assert recorded == {"i-1": False}
    assert not other.sent
