"""Errors of the membership package."""

from __future__ import annotations

from hollyring.core import errors


class MembershipError(errors.HollyringError):
    """Base class of the errors of the membership package."""


class EntryTooLargeError(MembershipError):
    """An entry's value is longer than the limit for gossip."""


class LeaseStateError(MembershipError):
    """The lease client received the outcome of a call that it did not make.

    It is not raised at present: `leases.LeaseClient.handle` ignores such outcomes.
    """
