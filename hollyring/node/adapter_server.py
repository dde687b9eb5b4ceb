"""VM process on an adapter of a platform: start, signals and graceful shutdown."""

from __future__ import annotations

import dataclasses
import functools
import math
import random
import signal
import socket
import typing
from collections.abc import Callable

import anyio
import uvicorn

from hollyring.core import identities, request_types
from hollyring.delivery import forwarded, refusal
from hollyring.limits import byte_budget, head_budget, organisation_rates
from hollyring.membership import heartbeat
from hollyring.node import (
    adapter_settings,
    asgi,
    bounded_protocol,
    cache_watcher,
    caller_connection,
    client_connections,
    clock,
    connection_pool,
    crash_watcher,
    errors,
    forward_client,
    forward_links,
    forward_server,
    forwarded_messages,
    heartbeat_messages,
    heartbeat_sender,
    held_signals,
    http_server,
    interfaces,
    internal_app,
    listening,
    logs,
    metrics,
    peers,
    registration,
    relay,
    release_controller,
    request_bodies,
    responses,
    rollout_controller,
    send_permits,
    settings,
    software_record,
    state,
    status_client,
    store_checker,
    store_watcher,
    supervision,
    unstated_end,
    upstream_prober,
    wire,
)
from hollyring.routing import prefix_caches

INCARNATION_BITS = 48
PEER_KEYS = ["hollyring-vms-on-a-private-network"]
"""The peer ports are on a private network; the key only rejects connections of other programs."""

DRAIN_SECONDS = 4.0
"""Time for which a leaving VM still serves callers that received its address before."""

EXIT_MARGIN_SECONDS = 0.6
"""Part of the grace period that is kept for the exit of the process."""

LAST_STEPS_SECONDS = 0.3
"""Part of that for what depends on others: callers that read their answers, and the store."""

KEEPALIVE_TIMEOUT_SECONDS = 60
BODY_TIMEOUT_SECONDS = 10.0
FIRST_START_DELAY_SECONDS = 1.0
"""Time for all VMs to register when the whole fleet starts for the first time.

A VM that knows only a few others takes itself for a serving VM.
"""

FIRST_LIST_SECONDS = 0.2
"""Time for the list of the VMs to arrive at the first start."""

VERSION_MARGIN_SECONDS = 1.5
"""Part of the version deadline that is kept for requests waiting at their upstream."""

CLIENT_LIMITS = settings.Limits(header_bytes=65_536, header_seconds=20.0)
"""Limits on what clients send at any address; the configuration limits the size of requests."""


class CallerCodec(typing.Protocol):
    """Decodes callers' requests and encodes the responses that this VM generates itself."""

    def decode_request(self, scope: asgi.Scope, body: bytes) -> request_types.Request:
        """Return the request in an ASGI scope.

        Raises
        ------
        Adapter.request_error
            If the request cannot be decoded.
        """

    def encode_refusal(self, refused: refusal.Refusal) -> responses.EncodedRefusal:
        """Return the response that reports a refusal."""

    def is_entry_request(self, scope: asgi.Scope) -> bool:
        """Return whether this is a request for entry addresses."""

    def decode_entry_domain(self, scope: asgi.Scope) -> str:
        """Return the failure domain that a request for entry addresses names, or an empty one."""

    def is_health_check(self, scope: asgi.Scope) -> bool:
        """Return whether this is a health check."""

    def encode_entry_response(self, addresses: list[str], ttl_seconds: float) -> bytes:
        """Return the body of an entry response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Everything that depends on the platform which the VM runs on.

    Parameters
    ----------
    store
        Key-value store with the configuration.
    store_codec, store_keys
        Format and keys of the stored values.
    upstream_codec, caller_codec
        Formats of the traffic with upstreams and callers.
    request_error
        Raised by `CallerCodec.decode_request`.
    reload_settings
        Reads the settings file again.
    """

    store: interfaces.Store
    store_codec: interfaces.StoreCodec
    store_keys: interfaces.StoreKeys
    upstream_codec: interfaces.UpstreamCodec
    caller_codec: CallerCodec
    request_error: type[Exception]
    reload_settings: Callable[[], adapter_settings.AdapterSettings]


class Process:
    """One incarnation of a VM.

    Parameters
    ----------
    vm_settings
        Settings that the process was started with.
    adapter
        Store and formats of the platform.
    budget
        Bytes that the process may hold for requests and calls.
    """

    def __init__(
        self,
        vm_settings: adapter_settings.AdapterSettings,
        adapter: Adapter,
        budget: byte_budget.ByteBudget,
    ) -> None:
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
            vm_settings.capacity,
            settles_versions=True,
            link_bits_per_second=vm_settings.link_bits_per_second,
        )
        vm_list_delay = FIRST_START_DELAY_SECONDS if vm_settings.first_start else 0.0
        self._exchange_delay = vm_list_delay + FIRST_LIST_SECONDS if vm_list_delay else 0.0
        window_seconds = vm_settings.rate_window_seconds
        unknown_until = -math.inf if vm_settings.first_start else clock.now() + window_seconds
        self._metrics = metrics.Metrics()
        self._supervisor = supervision.Supervisor(self._metrics)
        self._state = state.State(
            vm_info,
            adapter.store_codec,
            adapter.store_keys,
            vm_settings.retry_rules,
            vm_settings.version_deadline_seconds - VERSION_MARGIN_SECONDS,
            organisation_rates.OrganisationRates(window_seconds, unknown_until),
            vm_settings.freshness_rules,
            vm_settings.release_rules,
            prefix_caches.max_parts_for(vm_settings.memory_bytes),
        )
        self._budget = budget
        self._heads = head_budget.HeadBudget(head_budget.limit_for(vm_settings.memory_bytes))
        self._limits = listening.ListeningLimits(vm_settings.descriptors, vm_settings.memory_bytes)
        self._shared = client_connections.Shared(self._heads, self._limits.slots(vm_settings))
        self._connections = connection_pool.ConnectionPool(
            budget, self._heads, self._limits.upstream_connections
        )
        codec = wire.Codec(heartbeat_messages.MESSAGES | forwarded_messages.MESSAGES)
        self._peers = peers.PeerConnections(
            identities.Incarnation(vm_settings.name, incarnation),
            vm_settings.peer_address,
            PEER_KEYS,
            codec,
            self._on_peer_message,
            self._peer_address,
            forwarded.ForwardedRequest,
            self._limits.handshakes,
        )
        self._heartbeats = heartbeat_sender.HeartbeatSender(
            self._state, self._peers, list(vm_settings.seeds)
        )
        adapter.store.set_era_listener(self._observe_store_era)
        self._store_watcher = store_watcher.StoreWatcher(
            adapter.store,
            self._state,
            self._peers,
            self._heartbeats.send_now,
            vm_list_delay,
        )
        self._store_checker = store_checker.StoreChecker(
            adapter.store, self._state, self._store_watcher
        )
        self._status_client = status_client.StatusClient(
            self._state, self._peers, self._store_watcher
        )
        self._registration = registration.Registration(
            self._state, adapter.store, self._store_watcher, adapter.store_codec
        )
        self._state.first_start = vm_settings.first_start
        self._software_record = software_record.SoftwareRecord(
            self._state, adapter.store, adapter.store_codec, vm_list_delay
        )
        self._releases = release_controller.ReleaseController(
            self._state, adapter.store, adapter.store_codec, self._metrics
        )
        self._permits = send_permits.SendPermits(self._state, self._peers)
        self._rollout = rollout_controller.RolloutController(
            self._state,
            adapter.store,
            self._store_watcher,
            adapter.upstream_codec,
            self._connections,
            self._heartbeats.send_now,
            self._permits,
        )
        self._cache_watcher = cache_watcher.CacheWatcher(
            self._state,
            adapter.upstream_codec,
            self._connections,
            self._peers,
            self._permits,
            vm_settings.link_bits_per_second,
        )
        self._crash_watcher = crash_watcher.CrashWatcher(self._state, self._connections)
        self._forward_links = forward_links.ForwardLinks(self._peers, codec)
        self._upstream_prober = upstream_prober.UpstreamProber(
            self._state, self._connections, self._heartbeats.send_now
        )
        self._relay = relay.Relay(
            self._state,
            adapter.upstream_codec,
            self._connections,
            self._metrics,
            self._store_checker,
            self._permits,
            forward_client.ForwardClient(
                self._state, adapter.upstream_codec, self._forward_links, self._metrics, budget
            ),
            self._status_client,
        )
        self._forward_server = forward_server.ForwardServer(
            self._relay, codec, self._metrics, vm_settings.capacity, budget
        )
        self._peers.set_link_handler(self._forward_server.serve)
        self._leaving = anyio.Event()
        self._log = logs.Logger("vm")

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the settings."""
        vm_settings = self._settings
        protocol = bounded_protocol.protocol_class(
            CLIENT_LIMITS, self._max_header_bytes, self._shared
        )
        caller_server = self._make_server(self._caller_app, protocol)
        internal_server = self._make_server(self._internal_app(), protocol)
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
        until_exit = anyio.CancelScope()
        async with anyio.create_task_group() as task_group:
            await task_group.start(self._peers.run, host, port)
            for task in (
                self._store_watcher.run,
                self._store_checker.run,
                self._registration.run,
                self._connections.sweep,
                self._forward_links.sweep,
                self._crash_watcher.run,
                self._upstream_prober.run,
            ):
                task_group.start_soon(self._supervisor.keep_running, task)
            task_group.start_soon(self._exchange)
            task_group.start_soon(internal_server.serve, internal_sockets)
            task_group.start_soon(self._handle_signals, caller_server)
            task_group.start_soon(self._end_requests, until_exit)
            with until_exit:
                await self._serve_callers(caller_server, caller_sockets)
            self._log.info("stopped")
            internal_server.should_exit = True
            task_group.cancel_scope.cancel()

    async def _serve_callers(
        self, caller_server: uvicorn.Server, caller_sockets: list[socket.socket]
    ) -> None:
        """Serve until the VM leaves and every request has ended, and remove its record."""
        await caller_server.serve(caller_sockets)
        if self._state.leaving:
            await self._forward_server.drain(self._state.grace_period.ends_at)
        await self._supervisor.run_once(self._registration.release)

    async def _exchange(self) -> None:
        """Run the tasks that depend on which VMs serve, until cancelled."""
        await anyio.sleep(self._exchange_delay)
        async with anyio.create_task_group() as task_group:
            for task in (
                self._heartbeats.run,
                self._status_client.run,
                self._rollout.run,
                self._cache_watcher.run,
                self._software_record.run,
                self._releases.run,
            ):
                task_group.start_soon(self._supervisor.keep_running, task)

    def _internal_app(self) -> internal_app.InternalApp:
        return internal_app.InternalApp(
            self._state,
            self._adapter.caller_codec,
            self._store_checker,
            self._connections,
            self._forward_server,
            self._metrics,
            self._settings.max_entry_ttl_seconds,
            self._budget,
            self._shared,
        )

    def _make_server(self, app: typing.Any, protocol: typing.Any) -> uvicorn.Server:
        grace_seconds = self._settings.grace_seconds - DRAIN_SECONDS - EXIT_MARGIN_SECONDS
        return http_server.make_server(
            app,
            protocol,
            grace_seconds=max(0.0, grace_seconds),
            idle_seconds=KEEPALIVE_TIMEOUT_SECONDS,
            date_header=False,
        )

    async def _handle_signals(self, caller_server: uvicorn.Server) -> None:
        handled = anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with handled as signals, held_signals.delivered():
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload_settings()
                    continue
                await self._shut_down(caller_server)

    def _reload_settings(self) -> None:
        """Reload the settings; only changed seeds take effect while the process runs."""
        try:
            reloaded = self._adapter.reload_settings()
        except Exception as error:  # a bad settings file must not stop a serving process
            self._log.info("settings not read", why=str(error))
            return
        self._settings = dataclasses.replace(self._settings, seeds=reloaded.seeds)
        self._heartbeats.set_seeds(list(reloaded.seeds))
        self._log.info("settings read", seeds=len(reloaded.seeds))

    async def _end_requests(self, until_exit: anyio.CancelScope) -> None:
        """Give open requests their final answers, and soon after bring `until_exit` to its end."""
        await self._leaving.wait()
        seconds = max(0.0, self._state.grace_period.ends_at - clock.now())
        until_exit.deadline = anyio.current_time() + seconds + LAST_STEPS_SECONDS
        await anyio.sleep(seconds)
        self._log.info("grace period over", open_requests=self._state.requests.open)
        self._relay.stop()

    async def _shut_down(self, caller_server: uvicorn.Server) -> None:
        if self._state.leaving:
            return
        grace_seconds = self._settings.grace_seconds - EXIT_MARGIN_SECONDS
        self._state.leave(clock.now(), grace_seconds)
        self._leaving.set()
        self._log.info("leaving", open_requests=self._state.requests.open)
        self._heartbeats.send_now()
        deadline = clock.now() + DRAIN_SECONDS
        with anyio.move_on_after(DRAIN_SECONDS):
            await self._supervisor.run_once(self._rollout.stop)
        await anyio.sleep(max(0.0, deadline - clock.now()))
        self._log.info("no longer accepting requests", open_requests=self._state.requests.open)
        caller_server.should_exit = True

    async def _caller_app(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        if scope["type"] != "http":
            return
        self._state.requests.begin(clock.now())
        holding = self._budget.open(byte_budget.Kind.REQUEST)
        try:
            await self._handle_request(scope, receive, send, holding)
        except Exception:
            self._log.exception("request failed")
            self._metrics.increment("internal_errors")
            raise
        finally:
            holding.close()
            self._state.requests.end()

    async def _handle_request(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        holding: byte_budget.Holding,
    ) -> None:
        codec = self._adapter.caller_codec
        response = responses.ResponseWriter(
            send,
            codec.encode_refusal,
            lambda: self._state.leaving,
            lambda: caller_connection.is_closed(scope),
            unstated_end.sender(scope),
        )
        try:
            body = await request_bodies.read(
                holding, scope["headers"], receive, self._max_body_bytes(), BODY_TIMEOUT_SECONDS
            )
            if response.caller_left:
                self._log.info("caller left before its request was read")
                await response.refuse(refusal.make("caller_ended"))
                return
            request = codec.decode_request(scope, body)
        except asgi.BodyTooLargeError as error:
            await self._refuse(response, refusal.make("body_too_large"), error)
            return
        except request_bodies.NoRoomError as error:
            rejection = refusal.make("overloaded", request_bodies.RETRY_SECONDS)
            await self._refuse(response, rejection, error)
            return
        except asgi.BodyTooSlowError as error:
            await self._refuse(response, refusal.make("header_timeout"), error)
            return
        except asgi.DisconnectedError:
            self._log.info("caller left within its request")
            return
        except self._adapter.request_error as error:
            rejection = refusal.make("invalid_request", message=str(error))
            await self._refuse(response, rejection, error)
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_cancel_on_disconnect, receive, task_group.cancel_scope)
            try:
                await self._relay.serve(request, response)
            except responses.IncompleteResponseError:
                # uvicorn closes the connection if the app returns before the response is complete.
                self._metrics.increment("broken_off")
            except errors.CallerLeftError:
                pass
            task_group.cancel_scope.cancel()

    async def _refuse(
        self, response: responses.ResponseWriter, rejection: refusal.Refusal, error: Exception
    ) -> None:
        """Refuse a request that could not be read or decoded."""
        self._log.info("request not read", code=rejection.code, why=str(error))
        await response.refuse(rejection)

    def _max_header_bytes(self) -> int:
        current = self._state.deployment
        return current.limits.header_bytes if current else CLIENT_LIMITS.header_bytes

    def _max_body_bytes(self) -> int:
        current = self._state.deployment
        return current.limits.body_bytes if current else CLIENT_LIMITS.body_bytes

    def _observe_store_era(self, era: int) -> None:
        self._state.store_era.observe(era, "store")

    def _peer_address(self, name: str) -> str | None:
        peer = self._state.peers.by_name.get(name)
        return peer.vm.peer_address if peer else None

    async def _on_peer_message(
        self, sender: identities.Incarnation, message: object
    ) -> object | None:
        match message:
            case heartbeat.Heartbeat():
                self._state.receive(message, clock.now())
                if message.revisions:
                    self._store_watcher.notice_revisions()
            case heartbeat.StatusRequest():
                return self._state.answer_status(message, clock.now())
            case heartbeat.CopyRequest():
                return self._store_watcher.copy(message)
            case heartbeat.PermitRequest():
                return self._permits.answer(message)
            case heartbeat.PlaceReport():
                self._permits.receive_report(message)
            case heartbeat.CacheRequest():
                return self._cache_watcher.contents(message)
            case _:
                self._log.info("unexpected message", sender=sender.name)
        return None


async def _cancel_on_disconnect(receive: asgi.Receive, scope: anyio.CancelScope) -> None:
    await asgi.wait_disconnect(receive)
    scope.cancel()


def serve(
    vm_settings: adapter_settings.AdapterSettings,
    adapter: Adapter,
    budget: byte_budget.ByteBudget,
) -> None:
    """Run a VM process, which may hold the bytes of a budget, until a signal stops it."""
    logs.log_to_stdout(vm_settings.name)
    anyio.run(functools.partial(Process(vm_settings, adapter, budget).run))
