"""Calls to the store that acquire, renew and release a lease."""

from __future__ import annotations

import asyncio

from hollyring.configuration import store_revision
from hollyring.membership import leases
from hollyring.node import interfaces


async def call(store: interfaces.Store, action: leases.Action) -> leases.Event | None:
    """Perform an action of a lease client, and return its outcome if it has one.

    Raises
    ------
    interfaces.StoreError
        If the store did not answer; the action may still have taken effect.
    """
    match action:
        case leases.ReadHolder():
            item = await store.get(action.key)
            if item is None:
                return leases.HolderRead(action.call, b"", 0)
            ordinal = item.revision.ordinal
            return leases.HolderRead(action.call, item.value, ordinal, item.unleased)
        case leases.GrantLease():
            return leases.LeaseGranted(action.call, str(await store.grant(action.ttl)))
        case leases.WriteHolder():
            return await _write(store, action)
        case leases.RenewLease():
            return await _renew(store, action)
        case leases.ReleaseLease():
            await store.revoke(interfaces.Lease.parse(action.lease))
    return None


async def _renew(store: interfaces.Store, action: leases.RenewLease) -> leases.Event:
    lease = interfaces.Lease.parse(action.lease)
    renewed, item = await asyncio.gather(store.renew(lease), store.get(action.key))
    if renewed and item is not None and item.revision.ordinal == action.version:
        return leases.LeaseRenewed(action.call)
    return leases.Refused(action.call)


async def _write(store: interfaces.Store, action: leases.WriteHolder) -> leases.Event:
    put = interfaces.Put(action.key, action.value, interfaces.Lease.parse(action.lease))
    expected = store_revision.Revision.from_ordinal(action.version)
    written = await store.commit({action.key: expected}, [put])
    if isinstance(written, interfaces.Committed):
        return leases.HolderWritten(action.call, written.revision.ordinal)
    return leases.Refused(action.call)
