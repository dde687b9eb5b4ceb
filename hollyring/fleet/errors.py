"""Errors of the rollout."""

from __future__ import annotations

from hollyring.core import errors


class FleetError(errors.HollyringError):
    """Base of the errors of this package."""


class StaleFencingError(FleetError):
    """A lease was acquired with a fencing token that is not above the last one."""
