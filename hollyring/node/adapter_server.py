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

LIFE_BITS = 48
PEER_KEYS = ["hollyring-vms-on-a-private-network"]
"""The ports between VMs are closed to everybody else; the key only tells other programs apart."""

LEAVE_SECONDS = 4.0
"""A leaving VM still takes requests of callers that were told of it for so long."""

EXIT_MARGIN_SECONDS = 0.6
IDLE_SECONDS = 60
BODY_SECONDS = 10.0
MOST_ADDRESSES = 64
KEEP_SECONDS = 1.5
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
        """Return the request; raises `RequestError` for one that can't be read."""

    def encode_refusal(self, why: refusal.Refusal) -> responses.EncodedRefusal:
        """Return a refusal."""

    def is_entry_request(self, scope: asgi.Scope) -> bool:
        """Tell whether a caller asks for entry addresses."""

    def is_health_check(self, scope: asgi.Scope) -> bool:
        """Tell whether somebody asks if this VM is ready."""

    def encode_entry_response(self, addresses: list[str], keep_seconds: float) -> bytes:
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
    """One life of a VM process.

    Parameters
    ----------
    given
        The settings it was started with.
    adapter
        What the world around it speaks.
    """

    def __init__(self, given: adapter_settings.AdapterSettings, adapter: Adapter) -> None:
        self._settings = given
        self._adapter = adapter
        life = random.SystemRandom().getrandbits(LIFE_BITS)
        place = heartbeat.VmInfo(
            given.name,
            life,
            given.caller_address,
            given.peer_address,
            given.failure_domain,
            given.region,
        )
        self._metrics = metrics.Metrics()
        self._state = state.State(
            place,
            adapter.store_codec,
            adapter.store_keys,
            given.retry_rules,
            given.version_deadline_seconds - VERSION_MARGIN_SECONDS,
        )
        self._links = connection_pool.ConnectionPool()
        self._peers = peers.PeerConnections(
            identities.Incarnation(given.name, life),
            given.peer_address,
            PEER_KEYS,
            wire.Codec(heartbeat_messages.MESSAGES),
            self._from_peer,
            self._peer_address,
        )
        self._follower = store_watcher.StoreWatcher(adapter.store, self._state, self._peers)
        self._pulses = heartbeat_sender.HeartbeatSender(
            self._state,
            self._peers,
            adapter.store,
            self._follower,
            adapter.store_codec,
            list(given.seeds),
        )
        self._orders = rollout_controller.RolloutController(
            self._state,
            adapter.store,
            self._follower,
            adapter.upstream_codec,
            self._links,
            self._pulses.send_now,
        )
        self._caches = cache_watcher.CacheWatcher(self._state, adapter.upstream_codec, self._links)
        self._relay = relay.Relay(self._state, adapter.upstream_codec, self._links, self._metrics)
        self._log = logs.Logger("vm")
        self._open = 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish what is open."""
        given = self._settings
        callers = self._server(self._callers_app, bounded_protocol.protocol_class(CALLER_LIMITS))
        others = self._server(self._others_app, "httptools")
        side = {given.health_address, given.entry_address, given.control_address}
        side |= {given.metrics_address}
        other_sockets = [http_server.listen(address) for address in sorted(side) if address]
        caller_sockets = [http_server.listen(given.caller_address)]
        host, port = settings.split_address(given.peer_address)
        self._log.info("started", life=self._state.vm_info.life)
        async with anyio.create_task_group() as group:
            await group.start(self._peers.run, host, port)
            group.start_soon(self._follower.run)
            group.start_soon(self._pulses.run)
            group.start_soon(self._pulses.register)
            group.start_soon(self._orders.run)
            group.start_soon(self._caches.run)
            group.start_soon(self._links.sweep)
            group.start_soon(others.serve, other_sockets)
            group.start_soon(self._on_signals, callers)
            await callers.serve(caller_sockets)
            self._log.info("stopped")
            others.should_exit = True
            group.cancel_scope.cancel()

    def _server(self, app: typing.Any, protocol: typing.Any) -> uvicorn.Server:
        grace = self._settings.grace_seconds - LEAVE_SECONDS - EXIT_MARGIN_SECONDS
        return http_server.make_server(
            app, protocol, grace_seconds=max(0.0, grace), idle_seconds=IDLE_SECONDS, dated=False
        )

    async def _on_signals(self, callers: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                    continue
                await self._leave(callers)

    def _reload(self) -> None:
        """Read the settings anew; addresses stay as they are for the life of the process."""
        try:
            found = self._adapter.reload_settings()
        except Exception as error:  # a bad file must not end a process that serves
            self._log.info("settings not read", why=str(error))
            return
        self._settings = dataclasses.replace(self._settings, seeds=found.seeds)
        self._log.info("settings read", seeds=len(found.seeds))

    async def _leave(self, callers: uvicorn.Server) -> None:
        if self._state.leaving:
            return
        grace = self._settings.grace_seconds - EXIT_MARGIN_SECONDS
        self._state.leave(clock.now(), grace)
        self._log.info("leaving", open_requests=self._open)
        self._pulses.send_now()
        until = clock.now() + LEAVE_SECONDS
        with anyio.move_on_after(LEAVE_SECONDS):
            await self._orders.stop()
        await anyio.sleep(max(0.0, until - clock.now()))
        self._log.info("taking no more requests", open_requests=self._open)
        callers.should_exit = True

    async def _callers_app(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["type"] != "http":
            return
        self._open += 1
        try:
            await self._answer(scope, receive, send)
        except Exception:
            self._log.exception("request failed")
            self._metrics.increment("internal_errors")
            raise
        finally:
            self._open -= 1

    async def _answer(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        surface = self._adapter.caller_codec
        reply = responses.ResponseWriter(send, surface.encode_refusal, lambda: self._state.leaving)
        try:
            body = await asgi.read_body(receive, self._body_bytes(), BODY_SECONDS)
            ask = surface.decode_request(scope, body)
        except asgi.BodyTooLargeError:
            await reply.refuse(refusal.make("body_too_large"))
            return
        except asgi.BodyTooSlowError:
            await reply.refuse(refusal.make("header_timeout"))
            return
        except asgi.DisconnectedError:
            return
        except self._adapter.request_error as error:
            await reply.refuse(refusal.make("invalid_request", message=str(error)))
            return
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            try:
                await self._relay.serve(ask, reply)
            except responses.IncompleteResponseError:
                # Returning without an end has the server close the connection.
                self._metrics.increment("broken_off")
            group.cancel_scope.cancel()

    def _body_bytes(self) -> int:
        current = self._state.deployment
        return current.limits.body_bytes if current else CALLER_LIMITS.body_bytes

    async def _others_app(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["type"] != "http":
            return
        surface = self._adapter.caller_codec
        if surface.is_entry_request(scope):
            await self._entry(send)
        elif surface.is_health_check(scope):
            status = HTTP_OK if self._state.ready else HTTP_UNAVAILABLE
            await asgi.respond(send, status, b"", [])
        elif scope["path"] == "/metrics":
            await asgi.respond(send, HTTP_OK, self._page().encode(), [asgi.TEXT_TYPE])
        else:
            await asgi.respond(send, HTTP_NOT_FOUND, b"", [])

    async def _entry(self, send: asgi.Send) -> None:
        """Tell a caller where to connect."""
        now = clock.now()
        addresses = self._state.peers.caller_addresses(self._state.ready, now, MOST_ADDRESSES)
        if not addresses:
            await asgi.respond(send, HTTP_UNAVAILABLE, b"", [])
            return
        keep = min(KEEP_SECONDS, self._settings.max_entry_ttl_seconds)
        body = self._adapter.caller_codec.encode_entry_response(addresses, keep)
        await asgi.respond(send, HTTP_OK, body, [asgi.JSON_TYPE])

    def _page(self) -> str:
        now = clock.now()
        gauges = {
            "configuration_version": self._state.configuration_version,
            "store_age_seconds": self._state.store_age(now),
            "vms_alive": self._state.vm_count(now),
            "upstreams": len(self._state.registry.upstreams),
            "open_requests": self._open,
            "upstream_connections_opened": self._links.opened,
        }
        lines = [f"hollyring_{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines) + "\n" + self._metrics.render()

    def _peer_address(self, name: str) -> str | None:
        peer = self._state.peers.by_name.get(name)
        return peer.vm.peer_address if peer else None

    async def _from_peer(self, sender: identities.Incarnation, message: object) -> object | None:
        match message:
            case heartbeat.Heartbeat():
                self._state.receive(message, clock.now())
            case heartbeat.CopyRequest():
                return self._follower.copy(message.prefix)
            case _:
                self._log.info("unexpected message", sender=sender.name)
        return None


async def _cancel_on_disconnect(receive: asgi.Receive, scope: anyio.CancelScope) -> None:
    await asgi.wait_disconnect(receive)
    scope.cancel()


def serve(given: adapter_settings.AdapterSettings, adapter: Adapter) -> None:
    """Run a VM process until it is told to stop."""
    logs.log_to_stdout(given.name)
    anyio.run(functools.partial(Process(given, adapter).run))
