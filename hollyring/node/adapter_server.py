"""The process of a VM whose configuration comes from a store: parts, ports, links, shutdown."""

from __future__ import annotations

import dataclasses
import functools
import random
import signal
import typing
from collections.abc import Callable

import anyio
import uvicorn

from hollyring.core import identities, request_types
from hollyring.delivery import refusal
from hollyring.membership import heartbeat
from hollyring.node import (
    adapter_settings,
    asgi,
    bounded_protocol,
    cache_watcher,
    clock,
    connection_pool,
    heartbeat_messages,
    heartbeat_sender,
    http_server,
    interfaces,
    logs,
    metrics,
    peers,
    relay,
    responses,
    rollout_controller,
    settings,
    state,
    store_watcher,
    wire,
)

INCARNATION_BITS = 48
PEER_KEYS = ["hollyring-vms-on-a-private-network"]
"""The ports between VMs are closed to everybody else; the key only tells other programs apart."""

DRAIN_SECONDS = 4.0
"""A leaving VM still takes requests of callers that were told of it for so long."""

EXIT_MARGIN_SECONDS = 0.6
KEEPALIVE_TIMEOUT_SECONDS = 60
BODY_TIMEOUT_SECONDS = 10.0
MAX_ENTRY_ADDRESSES = 64
ENTRY_TTL_SECONDS = 1.5
"""How long callers keep an entry answer."""

VERSION_MARGIN_SECONDS = 1.5
"""A request may wait at its upstream for so long before it begins."""

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_NOT_FOUND = 404

CALLER_LIMITS = settings.Limits(header_bytes=65_536, header_seconds=20.0, connections=3_000)
"""Bounds on connections; what callers may send is in the configuration."""


class CallerCodec(typing.Protocol):
    """How an adapter reads requests and writes what this VM itself answers."""

    def decode_request(self, scope: asgi.Scope, body: bytes) -> request_types.Request:
        """Return the request; raises `AskError` for one that can't be read."""

    def encode_refusal(self, refused: refusal.Refusal) -> responses.EncodedRefusal:
        """Return a refusal."""

    def is_entry_request(self, scope: asgi.Scope) -> bool:
        """Tell whether a caller asks for entry addresses."""

    def is_health_check(self, scope: asgi.Scope) -> bool:
        """Tell whether somebody asks if this VM is ready."""

    def encode_entry_response(self, addresses: list[str], ttl_seconds: float) -> bytes:
        """Return the body of an entry answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """What the world around the VM speaks.

    Parameters
    ----------
    reload
        Reads the settings anew.
    """

    store: interfaces.Store
    store_codec: interfaces.StoreCodec
    store_keys: interfaces.StoreKeys
    upstream_codec: interfaces.UpstreamCodec
    caller_codec: CallerCodec
    request_error: type[Exception]
    reload_settings: Callable[[], adapter_settings.AdapterSettings]


class Process:
    """One incarnation of a VM process.

    Parameters
    ----------
    vm_settings
        The settings it was started with.
    adapter
        What the world around it speaks.
    """

    def __init__(self, vm_settings: adapter_settings.AdapterSettings, adapter: Adapter) -> None:
        self._settings = vm_settings
        self._adapter = adapter
        incarnation = random.SystemRandom().getrandbits(INCARNATION_BITS)
        vm_info = heartbeat.VmInfo(
            vm_settings.name,
            incarnation,
            vm_settings.caller_address,
            vm_settings.peer_address,
            vm_settings.failure_domain,
            vm_settings.region,
        )
        self._metrics = metrics.Metrics()
        self._state = state.State(
            vm_info,
            adapter.store_codec,
            adapter.store_keys,
            vm_settings.retry_rules,
            vm_settings.version_deadline_seconds - VERSION_MARGIN_SECONDS,
        )
        self._connections = connection_pool.ConnectionPool()
        self._peers = peers.PeerConnections(
            identities.Incarnation(vm_settings.name, incarnation),
            vm_settings.peer_address,
            PEER_KEYS,
            wire.Codec(heartbeat_messages.MESSAGES),
            self._on_peer_message,
            self._peer_address,
        )
        self._store_watcher = store_watcher.StoreWatcher(adapter.store, self._state, self._peers)
        self._heartbeats = heartbeat_sender.HeartbeatSender(
            self._state,
            self._peers,
            adapter.store,
            self._store_watcher,
            adapter.store_codec,
            list(vm_settings.seeds),
        )
        self._rollout = rollout_controller.RolloutController(
            self._state,
            adapter.store,
            self._store_watcher,
            adapter.upstream_codec,
            self._connections,
            self._heartbeats.send_now,
        )
        self._cache_watcher = cache_watcher.CacheWatcher(
            self._state, adapter.upstream_codec, self._connections
        )
        self._relay = relay.Relay(
            self._state, adapter.upstream_codec, self._connections, self._metrics
        )
        self._log = logs.Logger("vm")
        self._open_requests = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish what is open."""
        vm_settings = self._settings
        caller_server = self._make_server(
            self._caller_app, bounded_protocol.protocol_class(CALLER_LIMITS)
        )
        internal_server = self._make_server(self._internal_app, "httptools")
        internal_addresses = {
            vm_settings.health_address,
            vm_settings.entry_address,
            vm_settings.control_address,
        }
        internal_addresses |= {vm_settings.metrics_address}
        internal_sockets = [
            http_server.listen(address) for address in sorted(internal_addresses) if address
        ]
        caller_sockets = [http_server.listen(vm_settings.caller_address)]
        host, port = settings.split_address(vm_settings.peer_address)
        self._log.info("started", life=self._state.vm_info.life)
        async with anyio.create_task_group() as task_group:
            await task_group.start(self._peers.run, host, port)
            task_group.start_soon(self._store_watcher.run)
            task_group.start_soon(self._heartbeats.run)
            task_group.start_soon(self._heartbeats.register)
            task_group.start_soon(self._rollout.run)
            task_group.start_soon(self._cache_watcher.run)
            task_group.start_soon(self._connections.sweep)
            task_group.start_soon(internal_server.serve, internal_sockets)
            task_group.start_soon(self._handle_signals, caller_server)
            await caller_server.serve(caller_sockets)
            self._log.info("stopped")
            internal_server.should_exit = True
            task_group.cancel_scope.cancel()

    def _make_server(self, app: typing.Any, protocol: typing.Any) -> uvicorn.Server:
        grace_seconds = self._settings.grace_seconds - DRAIN_SECONDS - EXIT_MARGIN_SECONDS
        return http_server.make_server(
            app,
            protocol,
            grace_seconds=max(0.0, grace_seconds),
            idle_seconds=KEEPALIVE_TIMEOUT_SECONDS,
            dated=False,
        )

    async def _handle_signals(self, caller_server: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload_settings()
                    continue
                await self._shut_down(caller_server)

    def _reload_settings(self) -> None:
        """Read the settings anew; addresses stay as they are for the life of the process."""
        try:
            reloaded = self._adapter.reload_settings()
        except Exception as error:  # a bad file must not end a process that serves
            self._log.info("settings not read", why=str(error))
            return
        self._settings = dataclasses.replace(self._settings, seeds=reloaded.seeds)
        self._log.info("settings read", seeds=len(reloaded.seeds))

    async def _shut_down(self, caller_server: uvicorn.Server) -> None:
        if self._state.leaving:
            return
        grace_seconds = self._settings.grace_seconds - EXIT_MARGIN_SECONDS
        self._state.leave(clock.now(), grace_seconds)
        self._log.info("leaving", open_requests=self._open_requests)
        self._heartbeats.send_now()
        deadline = clock.now() + DRAIN_SECONDS
        with anyio.move_on_after(DRAIN_SECONDS):
            await self._rollout.stop()
        await anyio.sleep(max(0.0, deadline - clock.now()))
        self._log.info("taking no more requests", open_requests=self._open_requests)
        caller_server.should_exit = True

    async def _caller_app(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["type"] != "http":
            return
        self._open_requests += 1
        try:
            await self._handle_request(scope, receive, send)
        except Exception:
            self._log.exception("request failed")
            self._metrics.increment("internal_errors")
            raise
        finally:
            self._open_requests -= 1

    async def _handle_request(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        codec = self._adapter.caller_codec
        response = responses.ResponseWriter(send, codec.encode_refusal, lambda: self._state.leaving)
        try:
            body = await asgi.read_body(receive, self._max_body_bytes(), BODY_TIMEOUT_SECONDS)
            request = codec.decode_request(scope, body)
        except asgi.BodyTooLargeError:
            await response.refuse(refusal.make("body_too_large"))
            return
        except asgi.BodyTooSlowError:
            await response.refuse(refusal.make("header_timeout"))
            return
        except asgi.DisconnectedError:
            return
        except self._adapter.request_error as error:
            await response.refuse(refusal.make("invalid_request", message=str(error)))
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_cancel_on_disconnect, receive, task_group.cancel_scope)
            try:
                await self._relay.serve(request, response)
            except responses.IncompleteResponseError:
                # Returning without an end has the server close the connection.
                self._metrics.increment("broken_off")
            task_group.cancel_scope.cancel()

    def _max_body_bytes(self) -> int:
        current = self._state.deployment
        return current.limits.body_bytes if current else CALLER_LIMITS.body_bytes

    async def _internal_app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["type"] != "http":
            return
        codec = self._adapter.caller_codec
        if codec.is_entry_request(scope):
            await self._send_entry_addresses(send)
        elif codec.is_health_check(scope):
            status = HTTP_OK if self._state.ready else HTTP_UNAVAILABLE
            await asgi.respond(send, status, b"", [])
        elif scope["path"] == "/metrics":
            await asgi.respond(send, HTTP_OK, self._metrics_page().encode(), [asgi.TEXT_TYPE])
        else:
            await asgi.respond(send, HTTP_NOT_FOUND, b"", [])

    async def _send_entry_addresses(self, send: asgi.Send) -> None:
        """Tell a caller where to connect."""
        now = clock.now()
        addresses = self._state.peers.caller_addresses(self._state.ready, now, MAX_ENTRY_ADDRESSES)
        if not addresses:
            await asgi.respond(send, HTTP_UNAVAILABLE, b"", [])
            return
        ttl_seconds = min(ENTRY_TTL_SECONDS, self._settings.max_entry_ttl_seconds)
        body = self._adapter.caller_codec.encode_entry_response(addresses, ttl_seconds)
        await asgi.respond(send, HTTP_OK, body, [asgi.JSON_TYPE])

    def _metrics_page(self) -> str:
        now = clock.now()
        gauges = {
            "configuration_version": self._state.configuration_version,
            "store_age_seconds": self._state.store_age(now),
            "vms_alive": self._state.vm_count(now),
            "upstreams": len(self._state.registry.upstreams),
            "open_requests": self._open_requests,
            "upstream_connections_opened": self._connections.opened,
        }
        lines = [f"hollyring_{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines) + "\n" + self._metrics.render()

    def _peer_address(self, name: str) -> str | None:
        peer = self._state.peers.by_name.get(name)
        return peer.vm.peer_address if peer else None

    async def _on_peer_message(
        self, sender: identities.Incarnation, message: object
    ) -> object | None:
        match message:
            case heartbeat.Heartbeat():
                self._state.receive(message, clock.now())
            case heartbeat.CopyRequest():
                return self._store_watcher.copy(message.prefix)
            case _:
                self._log.info("unexpected message", sender=sender.name)
        return None


async def _cancel_on_disconnect(receive: asgi.Receive, scope: anyio.CancelScope) -> None:
    await asgi.wait_disconnect(receive)
    scope.cancel()


def serve(vm_settings: adapter_settings.AdapterSettings, adapter: Adapter) -> None:
    """Run a VM process until it is told to stop."""
    logs.log_to_stdout(vm_settings.name)
    anyio.run(functools.partial(Process(vm_settings, adapter).run))
