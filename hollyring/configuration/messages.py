"""Messages that VMs exchange to replicate the configuration.

The metadata entry ``wire_name`` of a field gives its name on the wire; see
`hollyring.node.thrift_names`.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Number of the sender's current revision and digest of the revision's stored value.

    If `reply_requested` is set, the receiver replies with its own `Digest`.
    """

    revision: int
    digest: str
    reply_requested: bool = dataclasses.field(metadata={"wire_name": "answer"})


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Request for the revisions after revision `after`."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deltas:
    """Stored values of consecutive revisions; the first is the successor of `after`."""

    after: int
    values: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """One of `count` segments of a snapshot, sent to a receiver too far behind for deltas.

    `revision_value` is the stored value of the snapshot's revision.
    """

    revision: int
    revision_value: bytes = dataclasses.field(metadata={"wire_name": "head"})
    index: int
    count: int
    body: bytes


Message = Digest | Fetch | Deltas | Segment
"""Any message of this module."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """An outgoing message and the name of the receiving VM."""

    to: str
    message: Message
