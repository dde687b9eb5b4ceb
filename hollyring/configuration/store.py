"""Calls on the platform's service and their answers, as messages.

The machines of this package ask for calls and are told the answers; whoever owns the sockets
makes the calls.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read a key: answered by `Found`, `Absent` or `Failed`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait for an absent key to appear: answered by `Found`, `Absent` or `Failed`."""

    key: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write a key if its version is still `version`, 0 standing for an absent key.

    Answered by `Written`, `Conflict` or `Failed`; after `Failed` it may have taken effect, and may
    still do so later.
    """

    key: str
    value: bytes
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete a key whatever its version: answered by `Written`, `Absent` or `Failed`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Make no call for a while: answered by `Waited`."""

    seconds: float


Call = Read | Watch | Write | Delete | Pause
"""What a machine wants done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The key's value and version."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The key is absent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect, as the key's version is another."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """No usable answer: not reachable, too late, over the service's rate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waited:
    """The pause is over."""


Answer = Found | Absent | Written | Conflict | Failed | Waited
"""What became of a call."""
