"""Resource usage of a process, read from ``/proc``."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_BYTES_PER_KIBIBYTE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU seconds of a process since its start, its resident memory and its number of children."""

    cpu_seconds: float
    resident_bytes: int
    children: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the resource usage of process `pid`."""
    directory = pathlib.Path(f"/proc/{pid}")
    fields = (directory / "stat").read_text().rsplit(")", 1)[1].split()
    resident = 0
    for line in (directory / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            resident = int(line.split()[1]) * _BYTES_PER_KIBIBYTE
    children = (directory / "task" / str(pid) / "children").read_text().split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(ticks / _TICKS_PER_SECOND, resident, len(children))
