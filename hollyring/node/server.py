"""The VM process: starts the parts, the ports and the links, and shuts down without a cut."""

from __future__ import annotations

import functools
import signal
import time
from typing import Any

import anyio
import uvicorn

from hollyring.configuration import state
from hollyring.core import identities, invariants
from hollyring.delivery import messages as delivery_messages
from hollyring.limits import retry_budget
from hollyring.membership import messages
from hollyring.node import (
    admin,
    api,
    bounded_protocol,
    catalogue,
    claims_actor,
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
IDLE_SECONDS = 5
"""An idle connection of a caller is kept for so long."""

FIRST_FLEET = 9
"""VMs assumed until the configuration names them."""

FIRST_RETRIES = 5.0
"""Retries that a VM may make before it has taken requests."""


class Process:
    """One life of a VM process.

    Parameters
    ----------
    given
        The settings it was started with.
    """

    def __init__(self, given: settings.Settings) -> None:
        self._settings = given
        self._log = logs.Logger("vm")
        self._me = identities.Incarnation(given.name, int(time.time() * MICROSECONDS))
        self._invariants = invariants.Invariants(strict=False)
        self._metrics = metrics.Metrics()
        self._links = connection_pool.ConnectionPool()
        self._platform = platform_client.PlatformClient(given.platform, self._links)
        codec = wire.Codec(catalogue.MESSAGES)
        self._peers = peers.PeerConnections(
            self._me,
            given.peer_address,
            given.peer_keys,
            codec,
            self._from_peer,
            self._known_address,
        )
        self._roster: dict[str, str] = {}
        self._membership = membership_actor.MembershipActor(
            messages.Profile(
                given.name,
                self._me.number,
                given.peer_address,
                given.caller_address,
                given.failure_domain,
                given.region,
            ),
            given.seeds,
            self._platform,
            self._peers.send,
            self._on_live,
            self._on_entry,
            lambda names: self._limits.update_listed(names),
        )
        self._limits = limits_actor.LimitsActor(self._me, self._invariants, self._send)
        self._routing = routing_actor.RoutingActor(
            self._me,
            given.region,
            given.failure_domain,
            given.policy,
            self._invariants,
            self._ask_peer,
            self._membership.put_entry,
            self._links,
        )
        self._configuration = configuration_actor.ConfigurationActor(
            self._me,
            self._invariants,
            self._platform,
            self._send,
            self._membership.live_peers,
            [self._configure, self._limits.configure, self._routing.configure],
        )
        self._claims = claims_actor.ClaimsActor(
            self._me, self._invariants, self._platform, self._ask_peer
        )
        self._retries = retry_budget.RetryBudget(FIRST_FLEET, initial_balance=FIRST_RETRIES)
        self._engines = engine_client.EngineClient(self._links)
        self._services = services.ServiceClient(self._links)
        self._node = vm.VM(
            self._me,
            given,
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
        self._front = api.Application(self._node)
        self._leaving = False

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish what is open."""
        protocol = bounded_protocol.protocol_class(self._settings.limits)
        callers = self._server(self._front, protocol)
        operators = admin.AdminApp(
            self._settings.admin_key, self._dump, lambda: self._ready, self._metrics
        )
        admins = self._server(operators, "httptools")
        caller_socket = http_server.listen(self._settings.caller_address)
        admin_socket = http_server.listen(self._settings.admin_address)
        host, port = settings.split_address(self._settings.peer_address)
        async with anyio.create_task_group() as group:
            await group.start(self._peers.run, host, port)
            group.start_soon(self._limits.run)
            group.start_soon(self._claims.run)
            group.start_soon(self._membership.run)
            group.start_soon(self._membership.poll_vm_list)
            group.start_soon(self._routing.run)
            group.start_soon(self._configuration.run)
            group.start_soon(self._configuration.follow_store)
            group.start_soon(self._links.sweep)
            group.start_soon(admins.serve, [admin_socket])
            group.start_soon(self._stop_on_signal, callers)
            group.start_soon(self._stop_when_replaced, callers)
            self._log.info("serving", incarnation=str(self._me))
            await callers.serve([caller_socket])
            self._log.info("all requests finished")
            admins.should_exit = True
            group.cancel_scope.cancel()

    @property
    def _ready(self) -> bool:
        return self._configuration.refusal() is None and not self._leaving

    async def _stop_on_signal(self, callers: uvicorn.Server) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                await self._leave(callers)

    async def _leave(self, callers: uvicorn.Server) -> None:
        """Take this VM out of the entry answers, then finish what is open."""
        if self._leaving:
            return
        self._leaving = True
        self._log.info("leaving", open_requests=self._front.open_requests)
        self._membership.leave()
        await anyio.sleep(self._settings.limits.leave_seconds)
        self._log.info("taking no more requests", open_requests=self._front.open_requests)
        callers.should_exit = True

    async def _stop_when_replaced(self, callers: uvicorn.Server) -> None:
        """Stop at once when a later life of this VM runs: its rights are the other's now."""
        await self._membership.wait_replaced()
        callers.force_exit = True
        callers.should_exit = True

    def _server(self, app: Any, protocol: Any) -> uvicorn.Server:
        return http_server.make_server(
            app,
            protocol,
            grace_seconds=self._settings.limits.shutdown_seconds,
            idle_seconds=IDLE_SECONDS,
            dated=True,
        )

    def _configure(self, configuration: state.Configuration) -> None:
        self._retries.resize(len(configuration.vms))
        self._roster = {item.name: item.peer_address for item in configuration.vms.values()}

    def _on_live(self, live: membership_actor.LiveVMs) -> None:
        self._routing.set_live_vms(live.region_names)

    def _on_entry(self, entry: messages.Entry) -> None:
        if entry.name.startswith(routing_actor.UPSTREAM_ENTRY_PREFIX):
            self._routing.receive_upstream_entry(entry.name, entry.value)

    def _known_address(self, name: str) -> str | None:
        return self._membership.address_of(name) or self._roster.get(name)

    def _send(self, name: str, message: object) -> None:
        address = self._peers.address_of(name)
        if address is not None:
            self._peers.send(address, message)

    async def _ask_peer(self, name: str, message: object, seconds: float) -> object | None:
        address = self._peers.address_of(name)
        if address is None:
            return None
        return await self._peers.call(address, message, seconds)

    async def _from_peer(self, sender: identities.Incarnation, message: object) -> object | None:
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
            "vm": str(self._me),
            "region": self._settings.region,
            "failure_domain": self._settings.failure_domain,
            "ready": self._ready,
            "leaving": self._leaving,
            "open_requests": self._front.open_requests,
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


def serve(given: settings.Settings) -> None:
    """Run a VM process with the settings `given` until it is told to stop."""
    logs.log_to_file(given.log_file, given.name)
    anyio.run(functools.partial(_run, given))


async def _run(given: settings.Settings) -> None:
    await Process(given).run()
