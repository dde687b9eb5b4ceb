"""Execution of the store calls that `hollyring.configuration` requests."""

from __future__ import annotations

import anyio

from hollyring.configuration import store
from hollyring.node import errors, platform_client


async def perform(client: platform_client.PlatformClient, call: store.Call) -> store.Answer:
    """Make one call to the platform's service; return its answer, `Failed` if it has none."""
    try:
        return await _perform(client, call)
    except errors.PlatformError:
        return store.Failed()


async def _perform(client: platform_client.PlatformClient, call: store.Call) -> store.Answer:
    match call:
        case store.Pause():
            await anyio.sleep(call.seconds)
            return store.Waited()
        case store.Read():
            return _found(await client.get(call.key))
        case store.Watch():
            return _found(await client.watch(call.key, 0, call.seconds))
        case store.Write():
            written = await client.put(call.key, call.value, call.version)
            return store.Written() if written.applied else store.Conflict()
        case store.Delete():
            return await _delete(client, call.key)


def _found(entry: platform_client.VersionedValue | None) -> store.Answer:
    if entry is None or not entry.version:
        return store.Absent()
    return store.Found(entry.value, entry.version)


async def _delete(client: platform_client.PlatformClient, key: str) -> store.Answer:
    """Delete a key at its current version; return `Failed` if another write comes between."""
    entry = await client.get(key)
    if not entry.version:
        return store.Absent()
    done = await client.delete(key, entry.version)
    return store.Written() if done else store.Failed()
