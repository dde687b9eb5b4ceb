"""Calls to the platform's key-value store and their answers.

The state machines of this package perform no I/O: each returns the next call and receives its
answer from the code that owns the connections.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read a key; answered by `Found`, `Absent` or `Failed`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Wait up to `seconds` for a key to exist; answered by `Found`, `Absent` or `Failed`."""

    key: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write a key by compare-and-swap on its version; version 0 requires that it is absent.

    Answered by `Written`, `Conflict` or `Failed`. After `Failed`, the write may have taken effect
    or may still take effect later.
    """

    key: str
    value: bytes
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete a key regardless of its version; answered by `Written`, `Absent` or `Failed`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Make no call for `seconds`; answered by `Waited`."""

    seconds: float


Call = Read | Watch | Write | Delete | Pause
"""Any call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The key exists, with this value and version."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The key is absent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write or deletion took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write had no effect because the key has a different version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """No usable answer: store unreachable, timeout, or rate limit exceeded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waited:
    """The pause ended."""


Answer = Found | Absent | Written | Conflict | Failed | Waited
"""Any answer to a call."""
