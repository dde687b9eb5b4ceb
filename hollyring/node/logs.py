"""Structured logs: short sentences with a fixed prefix for each part, written by eliot.

Nothing secret may be passed in: callers of this module log identities and counts, never keys,
prompts or answers.
"""

from __future__ import annotations

import collections
import os
import pathlib
import sys
import traceback
from typing import Any, BinaryIO

import eliot
import msgspec

TRACE_FRAMES = 12
OUTPUT_BYTES = 1_000_000
"""Most bytes of log lines that wait for a reader of standard output."""

STDOUT = 1


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


class _Output:
    """Writes lines to standard output without ever blocking; what finds no room is counted."""

    __slots__ = ("_descriptor", "_waiting", "_size", "_dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._size + len(line) > OUTPUT_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            line = b'{"dropped_lines":%d}\n' % self._dropped + line
            self._dropped = 0
        self._waiting.append(line)
        self._size += len(line)
        self._write()

    def _write(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            self._size -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def _open(path: str) -> BinaryIO:
    """Open a log file; it stays open for as long as the process runs."""
    return pathlib.Path(path).open("ab")  # noqa: SIM115


def open_log(path: str, vm: str) -> None:
    """Write all logs of this process to `path`, or to standard error if it is empty."""
    eliot.add_global_fields(vm=vm)
    eliot.add_destinations(_Destination(path))


def open_output(vm: str) -> None:
    """Write all logs of this process to standard output, without ever waiting for its reader."""
    eliot.add_global_fields(vm=vm)
    eliot.add_destinations(_Output(STDOUT))
