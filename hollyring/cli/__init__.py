"""Command-line interface."""

from hollyring.cli import main

__all__ = ["main"]
