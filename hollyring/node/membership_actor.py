"""The part that owns what this VM believes of the others: heartbeats, news, entry addresses."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

import anyio

from hollyring.membership import actions, entry_points, members, messages
from hollyring.node import actor, errors, logs, platform_client

TICK_SECONDS = 1.0
"""Longest time between two ticks; the protocol says when it is due before."""


LIST_SECONDS = 5.0
"""Time between two reads of the platform's list while few VMs share the work."""

LIST_READERS = 9
"""With more VMs than this each reads the list less often, so that the fleet's reads are bounded."""

LEAVING = "leaving"

SendTo = Callable[[str, object], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class LiveVMs:
    """The VMs that are alive changed."""

    names: list[str]
    region_names: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _FromPeer:
    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class _Listed:
    vms: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Put:
    name: str
    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class _Entry:
    caller: entry_points.Caller
    ticket: actor.PendingReply[entry_points.EntryPoints]


@dataclasses.dataclass(frozen=True, slots=True)
class _Leave:
    """Stop being offered to callers."""


class MembershipActor(actor.Actor):
    """Owns this VM's `members.Members`.

    Parameters
    ----------
    profile
        This life of this VM and where it is found.
    seeds
        Peer addresses to ask when nobody is known yet.
    send
        Called with a peer address and a message for it.
    on_live
        Called when the VMs that are alive change.
    on_entry
        Called with each small value that travels between VMs and is news.
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
        draw = random.Random(f"members of {profile.name}#{profile.incarnation}")
        self._members = members.Members(profile, seeds, draw, self.now)
        self._told: LiveVMs | None = None
        self._listed: dict[str, str] = {}
        self._replaced = anyio.Event()

    @property
    def addresses(self) -> dict[str, str]:
        """Peer addresses of the other VMs that are known, by name."""
        return {name: m.profile.address for name, m in self._members.members.items()}

    def address_of(self, name: str) -> str | None:
        """Return the peer address of a VM."""
        member = self._members.members.get(name)
        return member.profile.address if member is not None else None

    def live_peers(self) -> list[str]:
        """Return the names of the other VMs that are alive."""
        return [vm.name for vm in self._members.live if vm.name != self._profile.name]

    async def wait_replaced(self) -> None:
        """Return once a later life of this VM is known to run."""
        await self._replaced.wait()

    async def choose_entry_points(self, caller: entry_points.Caller) -> entry_points.EntryPoints:
        """Return which VMs a caller should use."""
        ticket: actor.PendingReply[entry_points.EntryPoints] = actor.PendingReply()
        self.post(_Entry(caller, ticket))
        return await ticket.wait()

    def put_entry(self, name: str, version: int, value: bytes) -> None:
        """Let a small value travel to every VM."""
        self.post(_Put(name, version, value))

    def leave(self) -> None:
        """Tell the others that this VM takes no new callers."""
        self.post(_Leave())

    def receive(self, address: str, message: messages.Message) -> None:
        """Take a message of the membership protocol."""
        self.post(_FromPeer(address, message))

    async def poll_vm_list(self) -> None:
        """Read the platform's list of VMs until cancelled."""
        while True:
            try:
                self.post(_Listed(await self._client.vms()))
            except errors.PlatformError as error:
                self._log.info("list of VMs not read", error=str(error))
            fleet = len(self._members.members) + 1
            await anyio.sleep(LIST_SECONDS * max(1.0, fleet / LIST_READERS))

    def handle(self, message: Any) -> None:
        """Take one message."""
        match message:
            case _FromPeer():
                self._act(self._members.handle(message.message, message.address, self.now))
            case _Listed():
                self._listed = message.vms
                self._on_listed(frozenset(message.vms))
                leaving = {name: state == LEAVING for name, state in message.vms.items()}
                self._act(self._members.update_listed(leaving, self.now))
                self._tell_live()
            case _Put():
                self._members.put_entry(message.name, message.version, message.value)
            case _Entry():
                message.ticket.set(entry_points.choose(message.caller, self._candidates()))
            case _Leave():
                self._members.leave()
                self._tell_live()

    def due(self) -> float:
        """Return when the protocol has work to do."""
        return min(super().due(), self._members.due)

    def tick(self) -> None:
        """Let the protocol do what is due."""
        if self._members.due <= self.now:
            self._act(self._members.tick(self.now))
        self._tell_live()

    def dump(self) -> dict[str, Any]:
        """Return what is believed of every other VM."""
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
        known = self._members.members
        found = []
        for vm in self._members.live:
            member = known.get(vm.name)
            suspect = member is not None and member.status is messages.Status.SUSPECT
            usable = self._listed.get(vm.name) != LEAVING
            found.append(
                entry_points.Candidate(
                    vm.name, vm.caller_address, vm.failure_domain, vm.region, usable, suspect
                )
            )
        return found

    def _act(self, wanted: list[actions.Action]) -> None:
        for action in wanted:
            match action:
                case actions.Send():
                    self._send(action.address, action.message)
                case actions.StatusChanged():
                    status = action.status.name.lower()
                    self._log.info("member changed", member=action.profile.name, status=status)
                case actions.EntryChanged():
                    self._on_entry(action.entry)
                case actions.Paused():
                    self._log.info("process stood still", seconds=action.seconds)
                case actions.Replaced():
                    self._log.info("a later life of this VM runs", by=str(action.replacement))
                    self._replaced.set()

    def _tell_live(self) -> None:
        live = self._members.live
        mine = self._profile
        names = sorted({vm.name for vm in live} | {mine.name})
        region = sorted({vm.name for vm in live if vm.region == mine.region} | {mine.name})
        told = LiveVMs(names, region)
        if told != self._told:
            self._told = told
            self._on_live(told)


def entry_caller(
    client: tuple[str, int] | None, failure_domain: str, region: str
) -> entry_points.Caller:
    """Return who asks, by the address the request came from and what it says of itself."""
    identity = f"{client[0]}:{client[1]}" if client else ""
    return entry_points.Caller(identity.encode(), failure_domain, region)
