"""Serve with the built program and count the processes that it needs.

Prints size, start time, processes and resident memory; exits 1 if the program runs as more than
one process or does not become ready.
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
    """Serve with `binary` and return the exit status."""
    base = launcher.free_base_port()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-build-"))
    document = small_deployment.document(base, vms=1, engines=1, services=0)
    fleet = launcher.Fleet(document, folder, base + launcher.PLATFORM_PORT_OFFSET)
    fleet.command = [binary]
    try:
        started = time.monotonic()
        await fleet.start_all()
        ready = time.monotonic() - started
        await anyio.sleep(SERVE_SECONDS)
        process = fleet.programs["vm-0"].process
        cost = process_usage.read_usage(process.pid)
        print(f"size {pathlib.Path(binary).stat().st_size / 1e6:.0f} MB")
        print(f"platform, engine and VM ready after {ready:.1f} s")
        print(f"VM: processes {1 + cost.children}, resident {cost.resident_bytes / 1e6:.0f} MB")
        return 0 if cost.children == 0 else 1
    finally:
        fleet.stop()


started_version = time.monotonic()
subprocess.run([sys.argv[1], "version"], check=True)
print(f"start {time.monotonic() - started_version:.2f} s")
sys.exit(anyio.run(check, sys.argv[1]))
