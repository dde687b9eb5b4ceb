"""The root of every error that hollyring raises."""


class HollyringError(Exception):
    """Base of each layer's own errors."""
