"""What a process costs, read from the kernel's books."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIBIBYTE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor seconds since a process began, its resident bytes, and its children."""

    cpu_seconds: float
    resident_bytes: int
    children: int


def read_usage(pid: int) -> ProcessUsage:
    """Return what process `pid` has cost so far."""
    root = pathlib.Path(f"/proc/{pid}")
    fields = (root / "stat").read_text().rsplit(")", 1)[1].split()
    resident = 0
    for line in (root / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            resident = int(line.split()[1]) * _KIBIBYTE
    children = (root / "task" / str(pid) / "children").read_text().split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(ticks / _TICKS_PER_SECOND, resident, len(children))
