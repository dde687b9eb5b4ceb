"""Errors of the rollout."""

from __future__ import annotations

from hollyring.core import errors


class FleetError(errors.HollyringError):
    """Base class of the errors raised by this package."""


class StaleFencingError(FleetError):
    """A lease was acquired with a fencing token not above that of the VM's previous lease."""
