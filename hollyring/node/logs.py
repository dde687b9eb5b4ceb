"""Structured logs, written with eliot; the text of a message begins with the component's prefix.

Messages and fields must not contain secrets: log ids and counts, never keys, prompts or responses.
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
MAX_BUFFERED_BYTES = 1_000_000
"""Bound on the log lines buffered while standard output is not being read, in bytes."""

STDOUT = 1


class Logger:
    """Logger of one component of the process.

    Parameters
    ----------
    component
        Prefix of its messages, e.g. ``"config"``.
    """

    __slots__ = ("_component",)

    def __init__(self, component: str) -> None:
        self._component = component

    def info(self, message: str, **fields: Any) -> None:
        """Log a message with typed fields."""
        eliot.log_message(
            message_type=self._component, text=f"{self._component}: {message}", **fields
        )

    def exception(self, message: str, **fields: Any) -> None:
        """Log a message with the traceback of the exception being handled."""
        trace = traceback.format_exc(limit=TRACE_FRAMES)
        self.info(message, trace=trace, **fields)


class _StreamDestination:
    """Writes each message as one line of JSON to a file or to standard error."""

    __slots__ = ("_stream",)

    def __init__(self, path: str) -> None:
        self._stream = sys.stderr.buffer if not path else _open_append(path)

    def __call__(self, message: dict[str, Any]) -> None:
        self._stream.write(msgspec.json.encode(message, enc_hook=str) + b"\n")
        self._stream.flush()


class _NonBlockingStdout:
    """Writes lines of JSON without blocking.

    Lines that exceed the buffer are dropped; their number is written as a line of its own.
    """

    __slots__ = ("_descriptor", "_buffer", "_buffered_bytes", "_dropped_lines")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            line = b'{"dropped_lines":%d}\n' % self._dropped_lines + line
            self._dropped_lines = 0
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def _open_append(path: str) -> BinaryIO:
    """Open a log file for appending; it stays open while the process runs."""
    return pathlib.Path(path).open("ab")  # noqa: SIM115


def log_to_file(path: str, vm: str) -> None:
    """Write all logs of this process to the file `path`, or to standard error if it is empty."""
    eliot.add_global_fields(vm=vm)
    eliot.add_destinations(_StreamDestination(path))


def log_to_stdout(vm: str) -> None:
    """Write all logs of this process to standard output, without blocking on its reader."""
    eliot.add_global_fields(vm=vm)
    eliot.add_destinations(_NonBlockingStdout(STDOUT))
