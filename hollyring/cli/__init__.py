"""The command line."""

from hollyring.cli import main

__all__ = ["main"]
