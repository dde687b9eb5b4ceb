"""Errors of the routing layer."""

from hollyring.core import errors


class RoutingError(errors.HollyringError):
    """Base of the errors that routing raises."""


class BlockHashError(RoutingError):
    """An engine published a cache block under something that isn't a block name."""


class MalformedLookupError(RoutingError):
    """A peer's lookup doesn't hold one name for each depth."""
