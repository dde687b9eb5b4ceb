"""Revisions of the configuration, their deltas, and what is in force on a VM."""

from hollyring.configuration import checks, documents, errors, objects, state
from hollyring.configuration.state import Configuration

__all__ = ["Configuration", "checks", "documents", "errors", "objects", "state"]
