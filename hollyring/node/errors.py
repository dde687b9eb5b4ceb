"""Errors of the VM process."""

from __future__ import annotations

from hollyring.core import errors


class VmError(errors.HollyringError):
    """Base class of the errors of the VM process."""


class SettingsError(VmError):
    """Invalid settings.

    Parameters
    ----------
    findings
        One line for each invalid field: name, value, allowed values.
    """

    def __init__(self, findings: list[str]) -> None:
        super().__init__("\n".join(findings))
        self.findings = findings


class PlatformError(VmError):
    """The platform's service sent no valid response; a write may have taken effect."""


class PlatformBusyError(PlatformError):
    """The platform's service rejected the call due to its rate limit; nothing was written."""


class UpstreamError(VmError):
    """An upstream sent no valid response.

    Parameters
    ----------
    message
        Description of the failure, without secrets.
    reached
        Whether a byte of the request may have reached the upstream.
    """

    def __init__(self, message: str, reached: bool) -> None:
        super().__init__(message)
        self.reached = reached


class CallerLeftError(VmError):
    """The caller closed its connection before this attempt was sent; no byte was written."""


class PeerError(VmError):
    """A connection to a peer failed, or the peer was not authenticated or sent invalid data."""
