"""Limits of upstreams that a VM which has just started asks other VMs for.

Heartbeats and statuses tell it of them only after some tenths of a second, and a herd of restarted
VMs sends dozens of requests until then. All serving VMs are asked, as some of them may have just
started too, and a few that follow, as all serving ones may have. Where none knows of a limit, as
after a restart of the whole fleet, requests go on as soon as all have answered.
"""

from __future__ import annotations

import typing

import anyio

from hollyring.core import rendezvous
from hollyring.membership import heartbeat
from hollyring.node import clock, state

START_SECONDS = 1.0
"""Time after the start from which heartbeats and statuses have told of all limits."""

ASK_TIMEOUT_SECONDS = 0.15
"""Longest wait for the answers of the other VMs."""

MAX_FOLLOWING = 3
"""VMs that follow that are asked; each VM that starts asks others, chosen by its name."""


class Caller(typing.Protocol):
    """Sends a message to another VM and returns its reply; see `hollyring.node.peers`."""

    async def call(self, address: str, message: object, seconds: float) -> object | None:
        """Return the reply, None if none arrives in time."""


class FirstLimits:
    """Asks each serving VM and a few others once, when the first requests are sent after the start.

    Parameters
    ----------
    vm_state
        State with the other VMs, to which the limits are added.
    peer_connections
        Connections to the other VMs.
    """

    __slots__ = ("_state", "_peers", "_ends_at", "_asked", "_asking")

    def __init__(self, vm_state: state.State, peer_connections: Caller) -> None:
        self._state = vm_state
        self._peers = peer_connections
        self._ends_at = clock.now() + START_SECONDS
        self._asked: set[str] = set()
        self._asking: anyio.Event | None = None

    async def wait(self) -> None:
        """Return when the other VMs have been asked, at once if that is long ago."""
        while clock.now() < self._ends_at:
            if self._asking is not None:
                await self._asking.wait()
                continue
            unasked = self._unasked()
            if not unasked:
                return
            await self._ask_all(unasked)

    def _unasked(self) -> list[heartbeat.VmInfo]:
        own_name = self._state.vm_info.name
        peers = self._state.peers
        serving = {vm.name: vm for vm in peers.serving if vm.name != own_name}
        names = rendezvous.rank(own_name.encode(), peers.by_name.keys() - serving.keys())
        following = {name: peers.by_name[name].vm for name in names[:MAX_FOLLOWING]}
        asked = {} if self._asked else following
        return [vm for vm in (serving | asked).values() if vm.name not in self._asked]

    async def _ask_all(self, vms: list[heartbeat.VmInfo]) -> None:
        self._asking = anyio.Event()
        try:
            async with anyio.create_task_group() as group:
                for vm in vms:
                    group.start_soon(self._ask, vm)
            self._asked.update(vm.name for vm in vms)
        finally:
            self._asking.set()
            self._asking = None

    async def _ask(self, vm: heartbeat.VmInfo) -> None:
        request = heartbeat.StatusRequest(self._state.vm_info.name)
        reply = await self._peers.call(vm.peer_address, request, ASK_TIMEOUT_SECONDS)
        if not isinstance(reply, heartbeat.FleetStatus):
            return
        now = clock.now()
        self._state.request_limits.receive(vm.name, reply.request_limits, now)
        self._state.rejection_limits.receive(vm.name, reply.rejection_limits, now)
