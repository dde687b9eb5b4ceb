"""How long a process takes to end, on a machine that may be busy."""

import os
import pathlib
import time

NANOSECOND = 1e-9


def queued_seconds(task):
    """Return for how long a task of ``/proc`` was ready to run, and did not run."""
    return int(pathlib.Path(f"/proc/{task}/schedstat").read_text().split()[1]) * NANOSECOND


def seconds_to_end(process, signal_number):
    """Send a signal to a process and return how long it takes to end.

    The time in which the process, or this thread, was ready to run and did not is left out.
    """
    started_at = time.monotonic()
    queued_before = queued_seconds(process.pid) + queued_seconds("thread-self")
    process.send_signal(signal_number)
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
    seconds = time.monotonic() - started_at
    return seconds - (queued_seconds(process.pid) + queued_seconds("thread-self") - queued_before)
