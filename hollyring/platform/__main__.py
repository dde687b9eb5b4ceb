"""Entry point of ``python3 -m hollyring.platform``: run a VM with the platform's settings."""

from __future__ import annotations

import sys

from hollyring.node import held_signals


def main() -> int:
    """Run a VM process and return its exit status."""
    held_signals.hold()
    from hollyring.platform import start  # takes a while, in which signals may come

    return start.run()


if __name__ == "__main__":
    sys.exit(main())
