"""Errors of the delivery layer."""

from __future__ import annotations

from hollyring.core import errors


class DeliveryError(errors.HollyringError):
    """Base class of the delivery layer's errors."""


class EventIdError(DeliveryError):
    """A `Last-Event-ID` that was not issued by this system."""


class StreamEndedError(DeliveryError):
    """An attempt was begun on a stream that has already ended."""


class LogFormatError(DeliveryError):
    """A stored value of the claim log that cannot be decoded."""


class UnknownCodeError(DeliveryError):
    """An unknown refusal code, or an execution status that the code does not allow."""


class StreamOrderError(DeliveryError):
    """A missing, duplicate or unreadable event from an upstream."""
