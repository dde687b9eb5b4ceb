"""Errors of the delivery layer."""

from __future__ import annotations

from hollyring.core import errors


class DeliveryError(errors.HollyringError):
    """Base of the delivery layer's errors."""


class EventIdError(DeliveryError):
    """A `Last-Event-ID` that this system did not write."""


class StreamEndedError(DeliveryError):
    """An event for a stream that has already ended."""


class LogFormatError(DeliveryError):
    """A stored value of the claim log that can't be read."""


class UnknownCodeError(DeliveryError):
    """A refusal code that the table lacks, or a claim on execution that its entry forbids."""


class StreamOrderError(DeliveryError):
    """An upstream's event is missing, doubled or unreadable."""
