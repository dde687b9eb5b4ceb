"""Calls to the platform's key-value store and their answers.

The state machines of this package perform no I/O: each returns the next call and receives its
answer from the code that owns the connections.
"""

from __future__ import annotations

import abc
import dataclasses
import typing


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


class CallSequence(abc.ABC):
    """State machine that makes one call after the other, each decided by the answers before.

    A subclass sets up what `_run` needs before it calls `__init__`, which determines the first
    call.
    """

    __slots__ = ("_steps", "_call")

    def __init__(self) -> None:
        self._steps = self._run()
        self._call: Call | None = next(self._steps)

    @property
    def call(self) -> Call | None:
        """Next call to make, None when none is left."""
        return self._call

    def on_answer(self, answer: Answer) -> None:
        """Process the answer to `call`."""
        try:
            self._call = self._steps.send(answer)
        except StopIteration:
            self._call = None

    @abc.abstractmethod
    def _run(self) -> typing.Generator[Call, Answer, None]:
        """Yield each call, and receive its answer."""
