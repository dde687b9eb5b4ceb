"""Messages of the membership protocol between VMs."""

from __future__ import annotations

import dataclasses
import enum
from typing import ClassVar


class Status(enum.IntEnum):
    """What is believed of one life of a VM; of equal refutations the higher status wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """One life of a VM and where it is found.

    Parameters
    ----------
    name, number
        The VM's name and the number of its life.
    address
        ``"IP:PORT"`` of its peer link.
    caller_address
        ``"IP:PORT"`` for callers.
    failure_domain, region
        Where it runs.
    """

    name: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    address: str
    caller_address: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """What is believed of one life of a VM.

    Parameters
    ----------
    name, number
        The VM's name and the number of its life.
    refutation
        Raised only by that life itself, to contradict what is said of it.
    status
        A value of `Status`.
    """

    name: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    refutation: int
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A small named value that travels with heartbeats; the highest version wins."""

    name: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """What a heartbeat carries besides: bounded in bytes."""

    WIRE_NAME: ClassVar[str] = "News"

    profiles: list[Profile]
    updates: list[Update]
    entries: list[Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Are you alive? Answered by `Ack`.

    Parameters
    ----------
    sequence
        Comes back in the `Ack`.
    sender, number
        The life that asks.
    target, target_number
        The life that is meant.
    digest
        Digest of the lives that the sender believes to be alive.
    news
        What the sender passes on.
    """

    sequence: int
    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    target: str
    target_incarnation: int = dataclasses.field(metadata={"wire_name": "target_number"})
    digest: int
    gossip: Gossip = dataclasses.field(metadata={"wire_name": "news"})


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """I am alive; `sender` and `number` are the life that was asked, also when relayed."""

    sequence: int
    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    digest: int
    gossip: Gossip = dataclasses.field(metadata={"wire_name": "news"})


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Please ping this life for me and relay its `Ack`."""

    sequence: int
    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    target: str
    target_incarnation: int = dataclasses.field(metadata={"wire_name": "target_number"})


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequest:
    """Tell me the members in the buckets in which we differ.

    Parameters
    ----------
    profile
        The life that asks.
    digests
        Its digest of each bucket.
    """

    profile: Profile
    digests: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Members of some buckets, and all entries of the first answer.

    Parameters
    ----------
    sender, number
        The life that answers.
    more
        Whether members had to be left out.
    news
        The members.
    """

    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    more: bool
    gossip: Gossip = dataclasses.field(metadata={"wire_name": "news"})


Message = Ping | Ack | PingRequest | SyncRequest | Sync
