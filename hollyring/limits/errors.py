"""Errors of the limits package."""

from hollyring.core import errors


class LimitsError(errors.HollyringError):
    """Base of the errors of limits."""


class ConfigurationError(LimitsError):
    """A roster or limit that cannot be applied."""
