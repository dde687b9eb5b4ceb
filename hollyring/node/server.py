"""VM process on the platform's key-value service: start, signals and graceful shutdown."""

from __future__ import annotations

import functools
import signal
import time
from typing import Any

import anyio
import msgspec
import uvicorn

from hollyring.configuration import state
from hollyring.core import identities, invariants
from hollyring.delivery import messages as delivery_messages
from hollyring.limits import byte_budget, head_budget, retry_budget
from hollyring.membership import messages
from hollyring.node import (
    admin,
    api,
    bounded_protocol,
    catalogue,
    claims_actor,
    client_connections,
    configuration_actor,
    connection_pool,
    engine_client,
    http_server,
    limits_actor,
    logs,
    membership_actor,
    metrics,
    peers,
    platform_client,
    routing_actor,
    services,
    settings,
    vm,
    wire,
)
from hollyring.routing import messages as routing_messages

MICROSECONDS = 1_000_000
KEEPALIVE_TIMEOUT_SECONDS = 5
"""Time after which an idle connection of a caller is closed."""

MAX_ADMIN_CONNECTIONS = 100

INITIAL_VM_COUNT = 9
"""Number of VMs assumed by the retry budget until a configuration is in force."""

INITIAL_RETRIES = 5.0
"""Retries that a VM may make before it has received any request."""


class Process:
    """One incarnation of a VM.

    Parameters
    ----------
    vm_settings
        Settings that the process was started with.
    """

    def __init__(self, vm_settings: settings.Settings) -> None:
        self._settings = vm_settings
        self._log = logs.Logger("vm")
        self._incarnation = identities.Incarnation(
            vm_settings.name, int(time.time() * MICROSECONDS)
        )
        self._invariants = invariants.Invariants(strict=False)
        self._metrics = metrics.Metrics()
        self._memory_bytes = vm_settings.memory_mb * byte_budget.BYTES_PER_MEGABYTE
        self._budget = byte_budget.ByteBudget(byte_budget.limit_for(self._memory_bytes))
        self._heads = head_budget.HeadBudget(head_budget.limit_for(self._memory_bytes))
        self._connections = connection_pool.ConnectionPool(self._budget, self._heads)
        self._platform = platform_client.PlatformClient(vm_settings.platform, self._connections)
        codec = wire.Codec(catalogue.MESSAGES)
        self._peers = peers.PeerConnections(
            self._incarnation,
            vm_settings.peer_address,
            vm_settings.peer_keys,
            codec,
            self._on_peer_message,
            self._peer_address,
        )
        self._roster: dict[str, str] = {}
        self._membership = membership_actor.MembershipActor(
            messages.Profile(
                vm_settings.name,
                self._incarnation.number,
                vm_settings.peer_address,
                vm_settings.caller_address,
                vm_settings.failure_domain,
                vm_settings.region,
            ),
            vm_settings.seeds,
            self._platform,
            self._peers.send,
            self._on_live_changed,
            self._on_entry_received,
            lambda names: self._limits.update_listed(names),
        )
        self._limits = limits_actor.LimitsActor(self._incarnation, self._invariants, self._send)
        self._routing = routing_actor.RoutingActor(
            self._incarnation,
            vm_settings.region,
            vm_settings.failure_domain,
            vm_settings.policy,
            self._invariants,
            self._call_peer,
            self._membership.put_entry,
            self._connections,
        )
        self._configuration = configuration_actor.ConfigurationActor(
            self._incarnation,
            self._invariants,
            self._platform,
            self._send,
            self._membership.live_peers,
            [self._apply_configuration, self._limits.configure, self._routing.configure],
        )
        self._claims = claims_actor.ClaimsActor(
            self._incarnation, self._invariants, self._platform, self._call_peer
        )
        self._retries = retry_budget.RetryBudget(INITIAL_VM_COUNT, initial_balance=INITIAL_RETRIES)
        self._engines = engine_client.EngineClient(self._connections)
        self._services = services.ServiceClient(self._connections)
        self._vm = vm.VM(
            self._incarnation,
            vm_settings,
            self._configuration,
            self._limits,
            self._routing,
            self._claims,
            self._membership,
            self._engines,
            self._services,
            self._retries,
            self._metrics,
            self._invariants,
        )
        self._api = api.Application(self._vm)
        self._leaving = False

    @property
    def budget(self) -> byte_budget.ByteBudget:
        """Bytes that this process may hold of the answers of upstreams."""
        return self._budget

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        shared = client_connections.Shared(self._heads)
        limits = self._settings.limits
        caller_server = self._make_server(
            self._api, bounded_protocol.protocol_class(limits, shared=shared)
        )
        admin_app = admin.AdminApp(
            self._settings.admin_key, self._dump, lambda: self._ready, self._metrics
        )
        admin_limits = msgspec.structs.replace(limits, connections=MAX_ADMIN_CONNECTIONS)
        admin_server = self._make_server(
            admin_app, bounded_protocol.protocol_class(admin_limits, shared=shared)
        )
        caller_socket = http_server.listen(self._settings.caller_address)
        admin_socket = http_server.listen(self._settings.admin_address)
        host, port = settings.split_address(self._settings.peer_address)
        async with anyio.create_task_group() as task_group:
            await task_group.start(self._peers.run, host, port)
            task_group.start_soon(self._limits.run)
            task_group.start_soon(self._claims.run)
            task_group.start_soon(self._membership.run)
            task_group.start_soon(self._membership.poll_vm_list)
            task_group.start_soon(self._routing.run)
            task_group.start_soon(self._configuration.run)
            task_group.start_soon(self._configuration.follow_store)
            task_group.start_soon(self._connections.sweep)
            task_group.start_soon(admin_server.serve, [admin_socket])
            task_group.start_soon(self._stop_on_signal, caller_server)
            task_group.start_soon(self._stop_when_replaced, caller_server)
            self._log.info("accepting requests", incarnation=str(self._incarnation))
            await caller_server.serve([caller_socket])
            self._log.info("all requests finished")
            admin_server.should_exit = True
            task_group.cancel_scope.cancel()

    @property
    def _ready(self) -> bool:
        return self._configuration.refusal() is None and not self._leaving

    async def _stop_on_signal(self, caller_server: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                await self._shut_down(caller_server)

    async def _shut_down(self, caller_server: uvicorn.Server) -> None:
        """Leave the membership, wait `leave_seconds`, then accept no more requests.

        Responses of ``/v1/entry`` no longer name this VM; callers that received its address before
        are served during the wait.
        """
        if self._leaving:
            return
        self._leaving = True
        self._log.info("leaving", open_requests=self._api.open_requests)
        self._membership.leave()
        await anyio.sleep(self._settings.limits.leave_seconds)
        self._log.info("no longer accepting requests", open_requests=self._api.open_requests)
        caller_server.should_exit = True

    async def _stop_when_replaced(self, caller_server: uvicorn.Server) -> None:
        """Exit without waiting for open requests once a later incarnation of this VM is running.

        The rights of this VM, such as its share of the rate limits, belong to that incarnation.
        """
        await self._membership.wait_replaced()
        caller_server.force_exit = True
        caller_server.should_exit = True

    def _make_server(self, app: Any, protocol: Any) -> uvicorn.Server:
        return http_server.make_server(
            app,
            protocol,
            grace_seconds=self._settings.limits.shutdown_seconds,
            idle_seconds=KEEPALIVE_TIMEOUT_SECONDS,
            date_header=True,
        )

    def _apply_configuration(self, configuration: state.Configuration) -> None:
        self._retries.resize(len(configuration.vms))
        self._roster = {item.name: item.peer_address for item in configuration.vms.values()}

    def _on_live_changed(self, live: membership_actor.LiveVMs) -> None:
        self._routing.set_live_vms(live.region_names)

    def _on_entry_received(self, entry: messages.Entry) -> None:
        if entry.name.startswith(routing_actor.UPSTREAM_ENTRY_PREFIX):
            self._routing.receive_upstream_entry(entry.name, entry.value)

    def _peer_address(self, name: str) -> str | None:
        return self._membership.address_of(name) or self._roster.get(name)

    def _send(self, name: str, message: object) -> None:
        address = self._peers.address_of(name)
        if address is not None:
            self._peers.send(address, message)

    async def _call_peer(self, name: str, message: object, seconds: float) -> object | None:
        address = self._peers.address_of(name)
        if address is None:
            return None
        return await self._peers.call(address, message, seconds)

    async def _on_peer_message(
        self, sender: identities.Incarnation, message: object
    ) -> object | None:
        package = type(message).__module__.split(".")[1]
        match package:
            case "configuration":
                self._configuration.receive(sender.name, message)  # type: ignore[arg-type]
            case "membership":
                address = self._peers.address_of(sender.name)
                if address is not None:
                    self._membership.receive(address, message)  # type: ignore[arg-type]
            case "limits":
                self._limits.receive(sender.name, message)
            case "routing" if isinstance(message, routing_messages.Lookup):
                return await self._routing.answer_lookup(message)
            case "delivery" if isinstance(message, delivery_messages.ClaimQuestion):
                return await self._claims.answer_question(message)
            case _:
                self._log.info("unexpected message", package=package)
        return None

    async def _dump(self) -> dict[str, Any]:
        return {
            "vm": str(self._incarnation),
            "region": self._settings.region,
            "failure_domain": self._settings.failure_domain,
            "ready": self._ready,
            "leaving": self._leaving,
            "open_requests": self._api.open_requests,
            "configuration": self._configuration.dump(),
            "membership": self._membership.dump(),
            "retries": self._retries.dump(),
            "limits": self._limits.dump(),
            "claims": self._claims.dump(),
            "routing": self._routing.dump(),
            "peers": self._peers.counts,
            "platform": self._platform.call_counts,
            "metrics": self._metrics.dump(),
            "invariants": self._invariants.dump(),
        }


def serve(vm_settings: settings.Settings) -> None:
    """Run a VM process until a signal stops it."""
    logs.log_to_file(vm_settings.log_file, vm_settings.name)
    anyio.run(functools.partial(_run, vm_settings))


async def _run(vm_settings: settings.Settings) -> None:
    await Process(vm_settings).run()
