"""Errors of the limits package."""

from hollyring.core import errors


class LimitsError(errors.HollyringError):
    """Base class of the errors of this package."""


class ConfigurationError(LimitsError):
    """A roster or limit is invalid."""
