"""``python3 -m hollyring.platform``: a VM under the settings that the platform names."""

from __future__ import annotations

import sys

from hollyring.platform import start

if __name__ == "__main__":
    sys.exit(start.run())
