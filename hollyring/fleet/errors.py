"""Errors of the orders to upstreams."""

from __future__ import annotations

from hollyring.core import errors


class FleetError(errors.HollyringError):
    """Base of the errors of this package."""


class StaleFencingError(FleetError):
    """A lease was taken up with a fencing number that is not above the last one."""
