"""Actions that the membership state machine returns for its caller to perform."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities
from hollyring.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer address; delivery is not guaranteed."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChanged:
    """The status of a VM's incarnation has changed."""

    profile: messages.Profile
    status: messages.Status


@dataclasses.dataclass(frozen=True, slots=True)
class EntryChanged:
    """A higher version of an entry was received."""

    entry: messages.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """This process was paused; its view may be outdated until `Members.may_act` is true again."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """A later incarnation of this VM is running; this one must stop."""

    replacement: identities.Incarnation


Action = Send | StatusChanged | EntryChanged | Paused | Replaced
