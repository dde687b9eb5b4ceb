"""ASGI application of a VM's internal ports: entry addresses, health checks and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hollyring.configuration import freshness
from hollyring.limits import byte_budget
from hollyring.node import (
    asgi,
    client_connections,
    clock,
    connection_pool,
    forward_server,
    held_bytes,
    metrics,
    state,
    store_checker,
)

if TYPE_CHECKING:
    from hollyring.node import adapter_server

MAX_ENTRY_ADDRESSES = 64
ENTRY_TTL_SECONDS = 1.5
"""Longest time for which callers may cache an entry response."""

HEALTH_WAIT_SECONDS = 0.5
"""Time for which a health check waits until this VM knows the latest changes."""

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_NOT_FOUND = 404


class InternalApp:
    """Answers what the platform and the operators ask of a VM.

    Parameters
    ----------
    vm_state
        State of this VM.
    caller_codec
        Recognises entry requests and health checks, and encodes entry addresses.
    checker
        Shows that what this VM knows of the store is recent.
    connections
        Connections to upstreams.
    forwards
        Executes requests of other VMs.
    counters
        Metrics of this process.
    max_entry_ttl_seconds
        Longest time that the platform lets callers cache an entry response.
    budget
        Bytes that this VM may hold.
    shared
        What the connections of clients share.
    """

    def __init__(
        self,
        vm_state: state.State,
        caller_codec: adapter_server.CallerCodec,
        checker: store_checker.StoreChecker,
        connections: connection_pool.ConnectionPool,
        forwards: forward_server.ForwardServer,
        counters: metrics.Metrics,
        max_entry_ttl_seconds: float,
        budget: byte_budget.ByteBudget,
        shared: client_connections.Shared,
    ) -> None:
        self._budget = budget
        self._shared = shared
        self._state = vm_state
        self._codec = caller_codec
        self._checker = checker
        self._connections = connections
        self._forwards = forwards
        self._metrics = counters
        self._entry_ttl_seconds = min(ENTRY_TTL_SECONDS, max_entry_ttl_seconds)

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        if self._codec.is_entry_request(scope):
            await self._send_entry_addresses(send, self._codec.decode_entry_domain(scope))
        elif self._codec.is_health_check(scope):
            await asgi.respond(send, await self._health_status(), b"", [])
        elif scope["path"] == "/metrics":
            await asgi.respond(send, HTTP_OK, self._metrics_page().encode(), [asgi.TEXT_TYPE])
        else:
            await asgi.respond(send, HTTP_NOT_FOUND, b"", [])

    async def _health_status(self) -> int:
        """Return the status of a health check, once the copies of the store are recent."""
        if not self._state.ready:
            return HTTP_UNAVAILABLE
        is_current = await self._checker.wait_current(clock.now() + HEALTH_WAIT_SECONDS)
        return HTTP_OK if is_current else HTTP_UNAVAILABLE

    async def _send_entry_addresses(self, send: asgi.Send, domain: str) -> None:
        """Respond with the addresses of VMs to connect to, for a caller of a failure domain."""
        now = clock.now()
        addresses = self._state.peers.caller_addresses(
            self._state.ready, now, MAX_ENTRY_ADDRESSES, domain, self._state.behind_vms(now)
        )
        if not addresses:
            await asgi.respond(send, HTTP_UNAVAILABLE, b"", [])
            return
        body = self._codec.encode_entry_response(addresses, self._entry_ttl_seconds)
        await asgi.respond(send, HTTP_OK, body, [asgi.JSON_TYPE])

    def _metrics_page(self) -> str:
        now = clock.now()
        gauges = {
            "configuration_version": self._state.configuration_version,
            "store_age_seconds": self._state.store_age(now),
            "store_era": self._state.store_era.current,
            "copies_age_seconds": freshness.stated(self._state.freshness.age(now)),
            "copies_largest_age_at_use_seconds": freshness.stated(
                self._state.freshness.largest_age(now)
            ),
            "vms_alive": len(self._state.peers.alive(now)) + 1,
            "vms_serving": len(self._state.peers.serving),
            "serving": int(self._state.peers.is_serving),
            "upstreams": len(self._state.registry.upstreams),
            "open_requests": self._state.requests.open,
            "open_requests_of_other_vms": self._forwards.open_requests,
            "upstream_connections_opened": self._connections.opened,
            "upstream_backoffs_total": self._state.backoffs.recorded,
            "upstream_limits_named_total": self._state.request_limits.named,
            "upstream_rejection_limits_named_total": self._state.rejection_limits.named,
            "cached_parts": self._state.prefix_caches.parts,
        }
        gauges |= held_bytes.gauges(self._budget) | self._shared.gauges()
        lines = [f"hollyring_{name} {value}" for name, value in gauges.items()]
        lines += [
            f"hollyring_departures_{source}_total {count}"
            for source, count in sorted(self._state.departure_counts.items())
        ]
        lines += [f"hollyring_{name} {n}" for name, n in self._state.crashes.counts.items()]
        lines.append(f"hollyring_store_era_rises_total {self._state.store_era.rises}")
        return "\n".join(lines) + "\n" + self._metrics.render()
