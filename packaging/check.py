"""Check that the built program serves as a single process.

Prints its size, start time, number of processes and resident memory. Exits with status 1 if it runs
as more than one process or does not become ready.
"""

import pathlib
import subprocess
import sys
import tempfile
import time

import anyio

from hollyring.experiments import launcher, process_usage, small_deployment

SERVE_SECONDS = 3.0


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
        usage = process_usage.read_usage(process.pid)
        print(f"size {pathlib.Path(binary).stat().st_size / 1e6:.0f} MB")
        print(f"platform, engine and VM ready after {ready_seconds:.1f} s")
        print(f"VM: processes {1 + usage.children}, resident {usage.resident_bytes / 1e6:.0f} MB")
        return 0 if usage.children == 0 else 1
    finally:
        fleet.stop()


started_at = time.monotonic()
subprocess.run([sys.argv[1], "version"], check=True)
print(f"start {time.monotonic() - started_at:.2f} s")
sys.exit(anyio.run(check, sys.argv[1]))
