"""Actor that owns the membership protocol: live VMs, gossiped entries, entry points for callers."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

import anyio

from hollyring.membership import actions, entry_points, members, messages
from hollyring.node import actor, errors, logs, platform_client

TICK_SECONDS = 1.0
"""Longest time between two ticks; the protocol may be due earlier."""


LIST_POLL_SECONDS = 5.0
"""Time between two reads of the platform's list of VMs in a small fleet."""

FULL_RATE_LIST_READERS = 9
"""Largest fleet in which each VM reads the list at the full rate.

In a larger one each VM reads it less often, so that the rate of all reads is bounded.
"""

LEAVING = "leaving"

SendTo = Callable[[str, object], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class LiveVMs:
    """Names of the VMs that are alive, in all regions and in this one."""

    names: list[str]
    region_names: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _FromPeer:
    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class _VMsListed:
    vms: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _PutEntry:
    name: str
    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class _ChooseEntryPoints:
    caller: entry_points.Caller
    reply: actor.PendingReply[entry_points.EntryPoints]


@dataclasses.dataclass(frozen=True, slots=True)
class _Leave:
    """Request to stop offering this VM to callers."""


class MembershipActor(actor.Actor):
    """Owner of this VM's `members.Members`.

    Parameters
    ----------
    profile
        Name, incarnation, addresses and location of this VM.
    seeds
        Peer addresses to contact while no other VM is known.
    client
        Client of the platform's service.
    send
        Sends a message to a peer address.
    on_live
        Called when the set of live VMs changes.
    on_entry
        Called with each new or changed gossip entry.
    on_listed
        Called with the names on the platform's list each time it is read.
    """

    def __init__(
        self,
        profile: messages.Profile,
        seeds: list[str],
        client: platform_client.PlatformClient,
        send: SendTo,
        on_live: Callable[[LiveVMs], None],
        on_entry: Callable[[messages.Entry], None],
        on_listed: Callable[[frozenset[str]], None],
    ) -> None:
        super().__init__(TICK_SECONDS)
        self._profile = profile
        self._client = client
        self._send = send
        self._on_live = on_live
        self._on_entry = on_entry
        self._on_listed = on_listed
        self._log = logs.Logger("member")
        rng = random.Random(f"members of {profile.name}#{profile.incarnation}")
        self._members = members.Members(profile, seeds, rng, self.now)
        self._last_live: LiveVMs | None = None
        self._listed: dict[str, str] = {}
        self._replaced = anyio.Event()

    @property
    def addresses(self) -> dict[str, str]:
        """Peer addresses of the other members by VM name."""
        return {name: m.profile.address for name, m in self._members.members.items()}

    def address_of(self, name: str) -> str | None:
        """Return the peer address of a VM, or None if it is not a member."""
        member = self._members.members.get(name)
        return member.profile.address if member is not None else None

    def live_peers(self) -> list[str]:
        """Return the names of the other VMs that are alive."""
        return [vm.name for vm in self._members.live if vm.name != self._profile.name]

    async def wait_replaced(self) -> None:
        """Wait until a later incarnation of this VM is running."""
        await self._replaced.wait()

    async def choose_entry_points(self, caller: entry_points.Caller) -> entry_points.EntryPoints:
        """Return the VMs that a caller should connect to."""
        reply: actor.PendingReply[entry_points.EntryPoints] = actor.PendingReply()
        self.post(_ChooseEntryPoints(caller, reply))
        return await reply.wait()

    def put_entry(self, name: str, version: int, value: bytes) -> None:
        """Gossip a small value to every VM."""
        self.post(_PutEntry(name, version, value))

    def leave(self) -> None:
        """Announce that this VM accepts no new callers."""
        self.post(_Leave())

    def receive(self, address: str, message: messages.Message) -> None:
        """Receive a message of the membership protocol."""
        self.post(_FromPeer(address, message))

    async def poll_vm_list(self) -> None:
        """Poll the platform's list of VMs until cancelled."""
        while True:
            try:
                self.post(_VMsListed(await self._client.vms()))
            except errors.PlatformError as error:
                self._log.info("list of VMs not read", error=str(error))
            vm_count = len(self._members.members) + 1
            await anyio.sleep(LIST_POLL_SECONDS * max(1.0, vm_count / FULL_RATE_LIST_READERS))

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case _FromPeer():
                self._perform_actions(
                    self._members.handle(message.message, message.address, self.now)
                )
            case _VMsListed():
                self._listed = message.vms
                self._on_listed(frozenset(message.vms))
                leaving = {name: state == LEAVING for name, state in message.vms.items()}
                self._perform_actions(self._members.update_listed(leaving, self.now))
                self._notify_live()
            case _PutEntry():
                self._members.put_entry(message.name, message.version, message.value)
            case _ChooseEntryPoints():
                message.reply.set(entry_points.choose(message.caller, self._candidates()))
            case _Leave():
                self._members.leave()
                self._notify_live()

    def next_tick_at(self) -> float:
        """Return the monotonic time at which the protocol is next due."""
        return min(super().next_tick_at(), self._members.due)

    def tick(self) -> None:
        """Run the protocol if it is due, and report changes of the live VMs."""
        if self._members.due <= self.now:
            self._perform_actions(self._members.tick(self.now))
        self._notify_live()

    def dump(self) -> dict[str, Any]:
        """Return the state of the protocol, and of every other VM as seen by this one."""
        return {
            "joined": self._members.joined,
            "trusted": self._members.may_act(self.now),
            "live": sorted(vm.name for vm in self._members.live),
            "members": {
                name: f"{member.profile.incarnation} {member.status.name.lower()}"
                for name, member in sorted(self._members.members.items())
            },
            "entries": len(self._members.entries),
            "counts": self._members.counts,
        }

    def _candidates(self) -> list[entry_points.Candidate]:
        by_name = self._members.members
        candidates = []
        for vm in self._members.live:
            member = by_name.get(vm.name)
            suspect = member is not None and member.status is messages.Status.SUSPECT
            usable = self._listed.get(vm.name) != LEAVING
            candidates.append(
                entry_points.Candidate(
                    vm.name, vm.caller_address, vm.failure_domain, vm.region, usable, suspect
                )
            )
        return candidates

    def _perform_actions(self, requested: list[actions.Action]) -> None:
        for action in requested:
            match action:
                case actions.Send():
                    self._send(action.address, action.message)
                case actions.StatusChanged():
                    status = action.status.name.lower()
                    self._log.info(
                        "member status changed", member=action.profile.name, status=status
                    )
                case actions.EntryChanged():
                    self._on_entry(action.entry)
                case actions.Paused():
                    self._log.info("process was paused", seconds=action.seconds)
                case actions.Replaced():
                    self._log.info(
                        "a later incarnation of this VM is running", by=str(action.replacement)
                    )
                    self._replaced.set()

    def _notify_live(self) -> None:
        live = self._members.live
        mine = self._profile
        names = sorted({vm.name for vm in live} | {mine.name})
        region = sorted({vm.name for vm in live if vm.region == mine.region} | {mine.name})
        current = LiveVMs(names, region)
        if current != self._last_live:
            self._last_live = current
            self._on_live(current)


def entry_caller(
    client: tuple[str, int] | None, failure_domain: str, region: str
) -> entry_points.Caller:
    """Return the caller of an entry request, from its client address and the location it gives."""
    identity = f"{client[0]}:{client[1]}" if client else ""
    return entry_points.Caller(identity.encode(), failure_domain, region)
