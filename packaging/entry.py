"""Where the built program starts."""

from hollyring.cli import main

main.main()
