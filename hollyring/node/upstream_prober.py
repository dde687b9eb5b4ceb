"""Connects to upstreams when connections fail, to find out whether this VM is cut off from them."""

from __future__ import annotations

import anyio

from hollyring.node import clock, connection_pool, logs, state

MAX_LOGGED_FAILURES = 8
"""Most upstreams that one log line names."""


class UpstreamProber:
    """Tells `state.State.reachability` how connections fare, and opens those that it asks for.

    A connection that an upstream takes is kept for requests.

    Parameters
    ----------
    vm_state
        State with the reachability of the upstreams.
    pool
        Connections to upstreams.
    send_heartbeat
        Sends a heartbeat to the other VMs at once.
    """

    def __init__(
        self,
        vm_state: state.State,
        pool: connection_pool.ConnectionPool,
        send_heartbeat: state.SendHeartbeat,
    ) -> None:
        self._state = vm_state
        self._pool = pool
        self._send_heartbeat = send_heartbeat
        self._reported: list[str] = []
        self._wake = anyio.Event()
        self._log = logs.Logger("reachability")
        pool.set_listener(self)
        vm_state.reachability.set_free_connections(lambda u: pool.has_idle(u.entry.address))
        vm_state.selector.set_reach(vm_state.reachability.may_send)

    def connected(self, address: str) -> None:
        """Record that a new connection was opened."""
        upstream = self._state.registry.at_address(address)
        if upstream is not None:
            self._state.reachability.record_connected(upstream, clock.now())
            self._wake.set()

    def late(self, address: str) -> None:
        """Record that a new connection is late."""
        upstream = self._state.registry.at_address(address)
        if upstream is not None:
            self._state.reachability.record_late(upstream, clock.now())
            self._wake.set()

    def failed(self, address: str) -> None:
        """Record that a connection could not be opened or was broken."""
        upstream = self._state.registry.at_address(address)
        if upstream is not None:
            self._state.reachability.record_failed(upstream, clock.now())
            self._wake.set()

    async def run(self) -> None:
        """Open the connections that are due, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                now = clock.now()
                for probe in self._state.reachability.take_probes(now):
                    group.start_soon(self._pool.can_connect, probe.address)
                self._report_changes()
                with anyio.move_on_after(max(0.0, self._state.reachability.due_at - now)):
                    await self._wake.wait()
                self._wake = anyio.Event()

    def _report_changes(self) -> None:
        """Log what changed, and tell the other VMs at once which services are unreachable."""
        for change in self._state.reachability.take_changes():
            self._log.info(
                "reachability changed",
                service=change.service,
                phase=change.phase.value,
                failed=list(change.failed[:MAX_LOGGED_FAILURES]),
            )
        unreachable = self._state.reachability.unreachable_services
        if unreachable != self._reported:
            self._reported = unreachable
            self._state.peers.set_cut_off(bool(unreachable))
            self._send_heartbeat()
