"""Entry point of the built program."""

from hollyring.cli import main

main.main()
