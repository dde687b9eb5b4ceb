"""Calls to the platform's key-value service that a state machine asks for, and their outcomes.

The node carries out each action and hands back exactly one outcome, in time; an answer that comes
after `ReadFailed` or `WriteLost` was handed back is dropped.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReadValue:
    """Read a key of the platform service and hand back `Value` or `ReadFailed`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutValue:
    """Compare-and-swap a key and hand back `Written`, `Conflict` or `WriteLost`."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteValue:
    """Delete a key at this version; the outcome isn't needed."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """The answer to `ReadValue`; version 0 and no bytes for an absent key."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """No usable answer to `ReadValue`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """`PutValue` took effect, as this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """`PutValue` had no effect: the key has another version."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnconfirmed:
    """No answer to `PutValue`: it may have taken effect, or may yet."""

    key: str


Action = ReadValue | PutValue | DeleteValue
Event = Value | ReadFailed | Written | Conflict | WriteUnconfirmed
