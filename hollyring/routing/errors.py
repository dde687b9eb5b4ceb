"""Errors of the routing layer."""

from hollyring.core import errors


class RoutingError(errors.HollyringError):
    """Base class of the errors raised by routing."""


class BlockHashError(RoutingError):
    """An engine published a cache block whose hash is not 16 hexadecimal digits."""


class MalformedLookupError(RoutingError):
    """A lookup from another VM does not contain one hash per depth."""
