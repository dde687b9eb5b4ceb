"""Tests that the stand-in of the store does not hold up the end of a test."""

import asyncio
import random
import time

import pytest

from hollyring.platform.tests import conftest

WATCHES = 4
WAIT_MS = 5
MAX_STEPS = 200
"""Steps of the event loop in which tasks that were cancelled have ended."""


async def cancel_watches(rng):
    """Cancel watches in the steps in which their time ends; return whether all tasks end."""
    store = conftest.StoreStandIn()
    query = {"after": "1", "prefix": "", "wait_ms": str(WAIT_MS)}
    for _ in range(WATCHES):
        asyncio.ensure_future(store._watch(query))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    time.sleep(2 * WAIT_MS / 1000)
    for _ in range(rng.randrange(6)):
        await asyncio.sleep(0)
    tasks = sorted(asyncio.all_tasks() - {asyncio.current_task()}, key=lambda task: task.get_name())
    rng.shuffle(tasks)
    for task in tasks:
        task.cancel()
    for _ in range(MAX_STEPS):
        await asyncio.sleep(0)
    return all(task.done() for task in tasks)


@pytest.mark.parametrize("seed", range(60))
def test_watches_cancelled_when_their_time_ends_do_not_hang(seed):
    loop = asyncio.new_event_loop()
    assert loop.run_until_complete(cancel_watches(random.Random(seed)))
    loop.close()
