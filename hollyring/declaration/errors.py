"""Errors of the operators' library."""

from hollyring.core import errors


class DeclarationError(errors.HollyringError):
    """A declaration that can't be written down."""
