"""Entry point of ``python3 -m hollyring.platform``: run a VM with the platform's settings."""

from __future__ import annotations

import os
import sys
import typing

from hollyring.node import held_signals


def main() -> typing.NoReturn:
    """Run a VM process, and end it with its exit status.

    The grace period leaves no time to take modules and objects down one by one.
    """
    held_signals.hold()
    from hollyring.platform import start  # takes a while, in which signals may come

    status = start.run()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    main()
