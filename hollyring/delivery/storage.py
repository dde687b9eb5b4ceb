"""Operations on the platform's key-value store, and their outcomes.

The I/O layer carries out each operation and reports exactly one outcome of a read or put, within a
time limit; a response that arrives after `ReadFailed` or `WriteUnconfirmed` was reported is
dropped.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReadValue:
    """Read a key of the store; the outcome is `Value` or `ReadFailed`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutValue:
    """Compare-and-swap a key; the outcome is `Written`, `Conflict` or `WriteUnconfirmed`."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteValue:
    """Delete a key if it has this version; no outcome is reported."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Response to `ReadValue`, with version 0 and no bytes for an absent key."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """No usable response to `ReadValue`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """`PutValue` took effect and created this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """`PutValue` had no effect because the key has another version."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnconfirmed:
    """No response to `PutValue`: it may have taken effect, or may still do so."""

    key: str


Action = ReadValue | PutValue | DeleteValue
Event = Value | ReadFailed | Written | Conflict | WriteUnconfirmed
