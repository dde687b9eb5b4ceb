"""Calls to the store that acquire, renew and release a lease."""

from __future__ import annotations

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
            value, revision = (item.value, item.revision.ordinal) if item else (b"", 0)
            return leases.HolderRead(action.call, value, revision)
        case leases.GrantLease():
            return leases.LeaseGranted(action.call, str(await store.grant(action.ttl)))
        case leases.WriteHolder():
            return await _write(store, action)
        case leases.RenewLease():
            renewed = await store.renew(interfaces.Lease.parse(action.lease))
            return leases.LeaseRenewed(action.call) if renewed else leases.Refused(action.call)
        case leases.ReleaseLease():
            await store.revoke(interfaces.Lease.parse(action.lease))
    return None


async def _write(store: interfaces.Store, action: leases.WriteHolder) -> leases.Event:
    put = interfaces.Put(action.key, action.value, interfaces.Lease.parse(action.lease))
    expected = store_revision.Revision.from_ordinal(action.version)
    written = await store.commit({action.key: expected}, [put])
    if isinstance(written, interfaces.Committed):
        return leases.HolderWritten(action.call, written.revision.ordinal)
    return leases.Refused(action.call)
