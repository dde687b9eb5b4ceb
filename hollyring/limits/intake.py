"""Bytes of a peer that a parser keeps, counted from the first byte of each stage of a message.

A parser keeps a line until it ends, and says nothing meanwhile; what it reports at the end of a
line, a head or a body is known too late. So whatever is read is counted before the parser gets it,
against a limit of the stage, and its cost in memory against a budget of the process.

What arrives in one read may end a stage. How much of the read belongs to the next one is not known
exactly; it is taken to be all that was not a part of a body.
"""

from __future__ import annotations

import dataclasses
import enum

from hollyring.limits import head_budget


class Stage(enum.Enum):
    """Part of a message; the value is its name in logs."""

    BETWEEN = "before the first line"
    HEAD = "head"
    BODY = "body"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Most bytes of each stage.

    Parameters
    ----------
    blank_bytes
        Bytes before a first line, such as empty lines.
    head_bytes
        Bytes of a head, its first line and line ends included.
    framing_bytes
        Bytes beside a body since the last byte of the body: a chunk's line, or trailers.
    """

    blank_bytes: int
    head_bytes: int
    framing_bytes: int


class Intake:
    """Counts what is read of the messages of one connection.

    Examples
    --------
    >>> intake = Intake()
    >>> intake.receive(10_000)
    >>> intake.begin_head()
    >>> intake.stage_bytes, intake.exceeds(Limits(100, 8_000, 8_000))
    (10000, True)
    """

    __slots__ = ("_stage", "_stage_bytes", "_lines", "_unassigned", "_events")

    def __init__(self) -> None:
        self._stage = Stage.BETWEEN
        self._stage_bytes = 0
        self._lines = 0
        self._unassigned = 0
        self._events = 0

    @property
    def stage(self) -> Stage:
        """Part of a message that is being read."""
        return self._stage

    @property
    def stage_bytes(self) -> int:
        """Bytes of the stage; in a body those since its last byte."""
        return self._stage_bytes

    @property
    def events(self) -> int:
        """Lines, parts of bodies, and beginnings and ends of the last read."""
        return self._events

    @property
    def cost(self) -> int:
        """Memory that the parser and the lines of a head take; 0 if it is as small as usual."""
        if head_budget.is_ordinary(self._stage_bytes, self._lines):
            return 0
        return head_budget.cost(self._stage_bytes, self._lines)

    def receive(self, size: int) -> None:
        """Count a read of some bytes, before the parser gets them."""
        self._unassigned = size
        self._stage_bytes += size
        self._events = 0

    def begin_head(self) -> None:
        """Record that a first line begins."""
        self._enter(Stage.HEAD)

    def add_line(self) -> None:
        """Record a header line or a trailer; trailers are not kept."""
        self._events += 1
        if self._stage is Stage.HEAD:
            self._lines += 1

    def end_head(self) -> None:
        """Record the end of a head."""
        self._enter(Stage.BODY)

    def add_body(self, size: int) -> None:
        """Record a part of a body."""
        self._events += 1
        self._unassigned -= size
        self._stage_bytes = self._unassigned

    def end_message(self) -> None:
        """Record the end of a message."""
        self._enter(Stage.BETWEEN)

    def exceeds(self, limits: Limits) -> bool:
        """Return whether more was read than a stage may have."""
        match self._stage:
            case Stage.BETWEEN:
                return self._stage_bytes > limits.blank_bytes
            case Stage.HEAD:
                return self._stage_bytes > limits.head_bytes
            case Stage.BODY:
                return self._stage_bytes > limits.framing_bytes

    def _enter(self, stage: Stage) -> None:
        self._events += 1
        self._stage = stage
        self._stage_bytes = self._unassigned
        self._lines = 0
