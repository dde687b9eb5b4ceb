"""What the holder of the order lease before this VM may still do, once this VM has acquired it.

The store removes the key of a lease with the lease, but another writer may remove it, too. That the
key was gone is therefore no proof that the lease had ended.
"""

from __future__ import annotations

from hollyring.node import interfaces, listed_holder, logs, state, store_watcher

MIN_LEASE_REMAINING_SECONDS = 1.5
"""Remaining time of the lease below which no order is sent.

The last order is therefore at least this old when the lease ends, and the next holder waits so much
less before its first order. While the store answers, the lease is renewed before so little of it
remains.
"""

MAX_ORDERS_AFTER_REMOVAL_SECONDS = listed_holder.LEASE_SECONDS - MIN_LEASE_REMAINING_SECONDS
"""Longest time for which a holder whose key another writer removed may still give orders.

It renews its lease only as long as it reads its key.
"""

WAIT_SECONDS = MAX_ORDERS_AFTER_REMOVAL_SECONDS + listed_holder.LEASE_SECONDS
"""Time from the acquisition to the first order where the previous holder may have acted since."""


class PreviousHolder:
    """Finds when a VM that has acquired the order lease may give its first order.

    Parameters
    ----------
    vm_state
        State of this VM.
    store
        Store that grants the lease.
    watcher
        Records whether the store answers.
    listed
        Holder by this VM's copy of the store, as of before the acquisition.
    """

    __slots__ = ("_state", "_store", "_store_watcher", "_listed", "_log")

    def __init__(
        self,
        vm_state: state.State,
        store: interfaces.Store,
        watcher: store_watcher.StoreWatcher,
        listed: listed_holder.ListedHolder,
    ) -> None:
        self._state = vm_state
        self._store = store
        self._store_watcher = watcher
        self._listed = listed
        self._log = logs.Logger("orders")

    async def first_order_time(self, acquired_at: float) -> float:
        """Return the time from which the previous holder cannot be in the way, 0 if it never can.

        Its lease, which this VM's copy listed last, is ended if it has not ended yet.
        """
        listed = self._listed
        if listed.last_was_this_vm:
            return 0.0
        if listed.knows_last:
            may_act = await self._had_not_ended(listed.last_lease)
            return acquired_at + WAIT_SECONDS if may_act else 0.0
        if self._state.first_start:
            return 0.0
        return min(acquired_at, listed.free_since or acquired_at) + WAIT_SECONDS

    async def _had_not_ended(self, lease: interfaces.Lease | None) -> bool:
        """End the lease whose key is gone, and return whether it may not have ended before."""
        if lease is None:
            return True
        try:
            had_not_ended = await self._store.revoke(lease)
        except interfaces.StoreError as error:
            self._store_watcher.record_failure(str(error))
            return True
        if had_not_ended:
            self._log.info("key of the order lease was removed before the lease ended")
        return had_not_ended
