"""Waiting for room in the byte budget, and what is shown of it."""

from __future__ import annotations

import anyio

from hollyring.limits import byte_budget


async def reserve(holding: byte_budget.Holding, size: int, seconds: float) -> bool:
    """Reserve room for `size` bytes, and return whether it became free within some seconds."""
    if holding.try_reserve(size):
        return True
    granted = anyio.Event()
    holding.await_room(size, granted.set)
    return await _wait(holding, granted, seconds)


async def grow(holding: byte_budget.Holding, most: int, seconds: float) -> bool:
    """Reserve room for more, up to `most`, if all that was reserved is held, as `reserve` does."""
    if holding.bytes < holding.reserved or holding.try_grow(most):
        return True
    granted = anyio.Event()
    holding.await_growth(most, granted.set)
    return await _wait(holding, granted, seconds)


async def _wait(holding: byte_budget.Holding, granted: anyio.Event, seconds: float) -> bool:
    try:
        with anyio.move_on_after(seconds):
            await granted.wait()
    finally:
        holding.stop_waiting()
    return granted.is_set()


def gauges(budget: byte_budget.ByteBudget) -> dict[str, int]:
    """Return what a budget holds, by metric name without its prefix."""
    values = {
        "held_bytes": budget.held,
        "held_bytes_peak": budget.peak,
        "held_bytes_limit": budget.limit,
        "held_bytes_waits_total": budget.waits,
        "held_bytes_evictions_total": budget.evictions,
    }
    return values | {
        f"held_bytes_of_{kind.value}": budget.held_by(kind) for kind in byte_budget.Kind
    }
