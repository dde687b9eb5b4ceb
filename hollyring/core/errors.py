"""Root of the exception hierarchy."""


class HollyringError(Exception):
    """Base class of all errors that hollyring raises."""
