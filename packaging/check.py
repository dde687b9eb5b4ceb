"""Check that the built program serves as a single process.

Prints its size, start time, number of processes and resident memory. Exits with status 1 if it runs
as more than one process or does not become ready.
"""

import dataclasses
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import anyio

from hollyring.experiments import launcher, small_deployment

SERVE_SECONDS = 3.0
BYTES_PER_MB = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process uses.

    Parameters
    ----------
    children
        Number of its child processes.
    resident_bytes
        Resident memory of the process itself, in bytes.
    """

    children: int
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return what a running process uses, from ``/proc``.

    Raises
    ------
    OSError
        If there is no such process.
    """
    directory = pathlib.Path("/proc") / str(pid)
    lists = (directory / "task").glob("*/children")
    children = sum(len(path.read_text().split()) for path in lists)
    resident_pages = int((directory / "statm").read_text().split()[1])
    return Usage(children, resident_pages * os.sysconf("SC_PAGE_SIZE"))


async def check(binary: str) -> int:
    """Run a VM with the program at `binary` and return the exit status."""
    base_port = launcher.free_base_port()
    directory = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-build-"))
    document = small_deployment.document(base_port, vms=1, engines=1, services=0)
    fleet = launcher.Fleet(document, directory, base_port + launcher.PLATFORM_PORT_OFFSET)
    fleet.command = [binary]
    try:
        started_at = time.monotonic()
        await fleet.start_all()
        ready_seconds = time.monotonic() - started_at
        await anyio.sleep(SERVE_SECONDS)
        process = fleet.programs["vm-0"].process
        assert process is not None
        usage = read_usage(process.pid)
        print(f"size {pathlib.Path(binary).stat().st_size / BYTES_PER_MB:.0f} MB")
        print(f"platform, engine and VM ready after {ready_seconds:.1f} s")
        resident = usage.resident_bytes / BYTES_PER_MB
        print(f"VM: processes {1 + usage.children}, resident {resident:.0f} MB")
        return 0 if usage.children == 0 else 1
    finally:
        fleet.stop()


def main() -> None:
    """Check the program that the first argument names, and exit."""
    started_at = time.monotonic()
    subprocess.run([sys.argv[1], "version"], check=True)
    print(f"start {time.monotonic() - started_at:.2f} s")
    sys.exit(anyio.run(check, sys.argv[1]))


if __name__ == "__main__":
    main()
