"""Errors of the membership layer."""

from __future__ import annotations

from hollyring.core import errors


class MembershipError(errors.HollyringError):
    """Base of the membership layer's errors."""


class EntryTooLargeError(MembershipError):
    """An entry that is too long to travel with heartbeats."""


class LeaseStateError(MembershipError):
    """An outcome that the lease client did not ask for."""
