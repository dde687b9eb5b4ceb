"""Messages of the SWIM membership protocol between VMs.

``WIRE_NAME`` and ``wire_name`` give names on the wire that differ from the Python names; see
`hollyring.node.thrift_names`.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import ClassVar


class Status(enum.IntEnum):
    """Status of a VM's incarnation; for equal refutation counters the higher status wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Identity, addresses and location of one incarnation of a VM.

    Parameters
    ----------
    name, incarnation
        Name of the VM and its incarnation number, which grows with each start.
    address
        ``"IP:PORT"`` that other VMs connect to.
    caller_address
        ``"IP:PORT"`` that callers connect to.
    failure_domain, region
        Location of the VM.
    """

    name: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    address: str
    caller_address: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Status update about one incarnation of a VM.

    Parameters
    ----------
    name, incarnation
        Name of the VM and its incarnation number.
    refutation
        Counter that only the VM itself raises, to override a wrong status; SWIM calls it the
        incarnation number.
    status
        A value of `Status`.
    """

    name: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    refutation: int
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A small named value that is distributed by gossip; the highest version wins."""

    name: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Gossip in a message; in a `Ping` or `Ack` at most about `gossip.MAX_PAYLOAD_BYTES` long."""

    WIRE_NAME: ClassVar[str] = "News"

    profiles: list[Profile]
    updates: list[Update]
    entries: list[Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Liveness probe, answered by an `Ack`.

    Parameters
    ----------
    sequence
        Number that is returned in the `Ack`.
    sender, incarnation
        Name and incarnation number of the sender.
    target, target_incarnation
        Name and incarnation number of the probed VM.
    digest
        Digest of the incarnations that are not dead according to the sender.
    gossip
        Piggybacked gossip.
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
    """Answer to a `Ping`.

    Parameters
    ----------
    sequence
        Sequence number of the ping; 0 if the ping was for another VM or incarnation.
    sender, incarnation
        Name and incarnation number of the VM that received the ping, also if a third VM relays the
        answer.
    digest, gossip
        As in `Ping`.
    """

    sequence: int
    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    digest: int
    gossip: Gossip = dataclasses.field(metadata={"wire_name": "news"})


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to ping the target on the sender's behalf and to relay its `Ack`.

    The parameters are those of `Ping`.
    """

    sequence: int
    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    target: str
    target_incarnation: int = dataclasses.field(metadata={"wire_name": "target_number"})


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequest:
    """Anti-entropy request for the members in the buckets whose digests differ.

    Parameters
    ----------
    profile
        Profile of the sender.
    digests
        The sender's digest of each bucket.
    """

    profile: Profile
    digests: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Answer to a `SyncRequest`.

    Parameters
    ----------
    sender, incarnation
        Name and incarnation number of the sender.
    more
        Whether members were left out because of the size limit.
    gossip
        Members of the differing buckets, and entries.
    """

    sender: str
    incarnation: int = dataclasses.field(metadata={"wire_name": "number"})
    more: bool
    gossip: Gossip = dataclasses.field(metadata={"wire_name": "news"})


Message = Ping | Ack | PingRequest | SyncRequest | Sync
