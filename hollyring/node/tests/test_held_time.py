"""Tests of the event loop on whose clock no time passes while its process stands still."""

import asyncio

import anyio
import pytest

from hollyring.node import clock
from hollyring.node.tests import held_time

anyio_backend = held_time.anyio_backend


@pytest.mark.anyio
async def test_time_in_which_the_process_stood_still_ends_no_wait():
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, loop.clock.hold_up, 0.4)
    started_at = clock.now()
    with anyio.fail_after(0.2):
        await anyio.sleep(0.1)
    assert 0.1 <= clock.now() - started_at < 0.2


@pytest.mark.anyio
async def test_time_in_which_the_event_loop_is_blocked_counts():
    started_at = clock.now()
    held_time.time.sleep(0.2)
    assert clock.now() - started_at >= 0.2


@pytest.mark.anyio
async def test_clock_never_goes_back():
    readings = [clock.now() for _ in range(1_000)]
    assert readings == sorted(readings)
