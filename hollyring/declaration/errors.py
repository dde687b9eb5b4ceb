"""Errors of the operators' library."""

from hollyring.core import errors


class DeclarationError(errors.HollyringError):
    """An invalid declaration."""
