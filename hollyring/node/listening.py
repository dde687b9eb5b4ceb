"""Shares of a process's descriptors and memory that each of its listening addresses may take.

No address takes another's share, so that a crowd at one of them leaves the others theirs. The
shares add up to less than all: the rest is for what this process opens itself.
"""

from __future__ import annotations

import dataclasses

from hollyring.limits import byte_budget, connection_slots
from hollyring.node import adapter_settings, client_connections, settings

OWN_DESCRIPTORS = 200
"""Descriptors that sockets can't have."""

CALLER_SHARE = 0.6
MAX_CALLER_CONNECTIONS = 3_000
MIN_CALLER_CONNECTIONS = 64

CONNECTION_BYTES = 24_000
"""Memory of a connection that has sent as much as is not counted by itself."""

CONNECTION_MEMORY_SHARE = 0.4
"""Share of the memory beside the process's own that callers' connections may take."""

ENTRY_SHARE = 0.08
INTERNAL_SHARE = 0.02
"""Shares of the connections for requests for entry addresses, and of each other address."""

MIN_ENTRY_CONNECTIONS = 16
MIN_INTERNAL_CONNECTIONS = 8
MAX_INTERNAL_CONNECTIONS = 1_000

HANDSHAKE_SHARE = 0.05
MIN_HANDSHAKES = 16
MAX_HANDSHAKES = 256

UPSTREAM_SHARE = 0.25
MIN_UPSTREAM_CONNECTIONS = 100
MAX_UPSTREAM_CONNECTIONS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ListeningLimits:
    """Limits on the connections of a process.

    Parameters
    ----------
    descriptors
        Open files and sockets that the process may have.
    memory_bytes
        Memory that the process may use; 0 for any amount.

    Examples
    --------
    >>> limits = ListeningLimits(4_100, 150_000_000)
    >>> limits.caller_connections, limits.entry_connections, limits.internal_connections
    (1300, 312, 78)
    >>> limits.handshakes, limits.upstream_connections
    (195, 975)
    """

    descriptors: int
    memory_bytes: int = 0

    @property
    def caller_connections(self) -> int:
        """Most connections of callers."""
        of_descriptors = self._share(CALLER_SHARE, MIN_CALLER_CONNECTIONS, MAX_CALLER_CONNECTIONS)
        if not self.memory_bytes:
            return of_descriptors
        rest = (self.memory_bytes - byte_budget.OWN_BYTES) * CONNECTION_MEMORY_SHARE
        return max(MIN_CALLER_CONNECTIONS, min(of_descriptors, int(rest / CONNECTION_BYTES)))

    @property
    def entry_connections(self) -> int:
        """Most connections of clients that ask where to connect."""
        return self._share(ENTRY_SHARE, MIN_ENTRY_CONNECTIONS, MAX_INTERNAL_CONNECTIONS)

    @property
    def internal_connections(self) -> int:
        """Most connections at each address for health checks, metrics and operators."""
        return self._share(INTERNAL_SHARE, MIN_INTERNAL_CONNECTIONS, MAX_INTERNAL_CONNECTIONS)

    @property
    def handshakes(self) -> int:
        """Most connections at the port of other VMs that have not proved to be one."""
        return self._share(HANDSHAKE_SHARE, MIN_HANDSHAKES, MAX_HANDSHAKES)

    @property
    def upstream_connections(self) -> int:
        """Most connections to upstreams for callers' requests."""
        return self._share(UPSTREAM_SHARE, MIN_UPSTREAM_CONNECTIONS, MAX_UPSTREAM_CONNECTIONS)

    def slots(
        self, vm_settings: adapter_settings.AdapterSettings
    ) -> dict[int, client_connections.Slots]:
        """Return the slots of each listening address by port, the larger of one that serves two."""
        limits = {
            vm_settings.metrics_address: self.internal_connections,
            vm_settings.control_address: self.internal_connections,
            vm_settings.health_address: self.internal_connections,
            vm_settings.entry_address: self.entry_connections,
            vm_settings.caller_address: self.caller_connections,
        }
        return {
            settings.split_address(address)[1]: connection_slots.ConnectionSlots(limit)
            for address, limit in limits.items()
            if address
        }

    def _share(self, share: float, least: int, most: int) -> int:
        usable = self.descriptors - OWN_DESCRIPTORS
        return connection_slots.shared_limit(usable, share, least, most)
