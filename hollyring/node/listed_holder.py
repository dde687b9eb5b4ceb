"""Holder of the order lease by this VM's copy of the store and the statements of other VMs."""

from __future__ import annotations

from hollyring.core import identities
from hollyring.node import interfaces, state

LEASE_SECONDS = 3.0

UNCLAIMED_SECONDS = LEASE_SECONDS + 2.0
"""Time after a holder's last statement when its lease has ended, unless it is cut off or not ours.

A heartbeat may be a second older than the last renewal.
"""


class ListedHolder:
    """Tells when it is worth reading in the store whether the order lease can be acquired.

    Parameters
    ----------
    vm_state
        State with the copy of the store and the latest statement of a holder.
    """

    __slots__ = ("_state", "_incarnation", "_listed_since", "_last_value", "_free_since")

    def __init__(self, vm_state: state.State) -> None:
        vm_info = vm_state.vm_info
        self._state = vm_state
        self._incarnation = str(identities.Incarnation(vm_info.name, vm_info.life))
        self._listed_since: float | None = None
        self._last_value = ""
        self._free_since: float | None = None

    @property
    def free_since(self) -> float | None:
        """Time since which this VM's copy has shown no holder, None if it shows one or has none."""
        return self._free_since

    @property
    def last_was_this_vm(self) -> bool:
        """Whether the holder that was listed last is this incarnation."""
        return self._last_value.partition("/")[0] == self._incarnation

    @property
    def last_lease(self) -> interfaces.Lease | None:
        """Lease of the holder that was listed last, None if none was or its text is unreadable."""
        try:
            return interfaces.Lease.parse(self._last_value.partition("/")[2])
        except ValueError:
            return None

    @property
    def knows_last(self) -> bool:
        """Whether any holder was listed."""
        return bool(self._last_value)

    def observe(self, now: float) -> None:
        """Record what this VM's copy of the store shows; to be called while it holds no lease."""
        value = self._value()
        if value is None:
            return
        if value:
            self._last_value = value
            self._free_since = None
        elif self._free_since is None:
            self._free_since = now

    def may_be_none(self, now: float) -> bool:
        """Return whether no holder is listed but this VM, or one that no VM has said to be of late.

        Whether the key of the latter has a lease is for the lease client to read.
        """
        if self._name() in ("", self._incarnation):
            self._listed_since = None
            return True
        if self._listed_since is None:
            self._listed_since = now
        stated_at = max(self._listed_since, self._state.order_holder_stated_at)
        return now - stated_at > UNCLAIMED_SECONDS

    def _name(self) -> str:
        """Return the incarnation that holds the lease by this VM's copy of the store, or ""."""
        return (self._value() or "").partition("/")[0]

    def _value(self) -> str | None:
        """Return the text under the key of the lease, "" if there is none, None without a copy."""
        store_keys = self._state.store_keys
        copy = self._state.mirrors[store_keys.vms]
        item = copy.items.get(store_keys.orders_lease)
        if item is not None:
            return item.value.decode(errors="replace")
        return "" if copy.revision.number else None
