"""What the membership protocol asks of the node, and tells it."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities
from hollyring.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer address; it may be lost."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChanged:
    """What is believed of a life has changed."""

    profile: messages.Profile
    status: messages.Status


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanged:
    """A higher version of an entry was heard."""

    entry: messages.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """This process stood still; what it knew may be outdated until `trusted` is true again."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """A later life of this VM runs: this one must stop."""

    replacement: identities.Incarnation


Action = Send | StatusChanged | EntryChanged | Paused | Replaced
