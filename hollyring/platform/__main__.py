"""Entry point of ``python3 -m hollyring.platform``: run a VM with the platform's settings."""

from __future__ import annotations

import sys

from hollyring.platform import start

if __name__ == "__main__":
    sys.exit(start.run())
