"""Structured logs: short sentences with a fixed prefix for each part, written by eliot.

Nothing secret may be passed in: callers of this module log identities and counts, never keys,
prompts or answers.
"""

from __future__ import annotations

import pathlib
import sys
import traceback
from typing import Any, BinaryIO

import eliot
import msgspec

TRACE_FRAMES = 12


class Log:
    """The log of one part of the process.

    Parameters
    ----------
    part
        Prefix of its lines, e.g. ``"config"``.
    """

    __slots__ = ("_part",)

    def __init__(self, part: str) -> None:
        self._part = part

    def say(self, sentence: str, **fields: Any) -> None:
        """Log one sentence with typed fields."""
        eliot.log_message(message_type=self._part, text=f"{self._part}: {sentence}", **fields)

    def failure(self, sentence: str, **fields: Any) -> None:
        """Log one sentence with the exception that is being handled."""
        trace = traceback.format_exc(limit=TRACE_FRAMES)
        self.say(sentence, trace=trace, **fields)


class _Destination:
    """Writes one JSON line for each message."""

    __slots__ = ("_stream",)

    def __init__(self, path: str) -> None:
        self._stream = sys.stderr.buffer if not path else _open(path)

    def __call__(self, message: dict[str, Any]) -> None:
        self._stream.write(msgspec.json.encode(message, enc_hook=str) + b"\n")
        self._stream.flush()


def _open(path: str) -> BinaryIO:
    """Open a log file; it stays open for as long as the process runs."""
    return pathlib.Path(path).open("ab")  # noqa: SIM115


def open_log(path: str, vm: str) -> None:
    """Write all logs of this process to `path`, or to standard error if it is empty."""
    eliot.add_global_fields(vm=vm)
    eliot.add_destinations(_Destination(path))
