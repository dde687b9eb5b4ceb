"""Messages about the configuration that travel between VMs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The sender's revision and the digest of its stored value.

    With `answer` set, the receiver sends its own back.
    """

    revision: int
    digest: str
    reply_requested: bool = dataclasses.field(metadata={"wire_name": "answer"})


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Asks for the revisions after `after`."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deltas:
    """Stored values of consecutive revisions, verbatim; the first follows `after`."""

    after: int
    values: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Part of a snapshot, for a receiver too far behind for deltas.

    `head` is the stored value of the snapshot's revision.
    """

    revision: int
    revision_value: bytes = dataclasses.field(metadata={"wire_name": "head"})
    index: int
    count: int
    body: bytes


Message = Digest | Fetch | Deltas | Segment
"""Any message about the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message and the name of the VM to send it to."""

    to: str
    message: Message
