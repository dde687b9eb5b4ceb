"""``python3 -m hollyring.platform``: a VM under the settings that the platform names."""

from __future__ import annotations

import sys

from hollyring.node import errors
from hollyring.platform import settings, start

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Serve; return 2 if the settings are bad, after naming the fault."""
    path = settings.path()
    if path is None:
        print(f"{settings.VARIABLE}: missing: allowed: a path", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        given = start.read(path)
    except (errors.SettingsError, OSError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    start.serve(path, given)
    return 0


if __name__ == "__main__":
    sys.exit(main())
