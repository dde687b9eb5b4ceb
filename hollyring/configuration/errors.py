"""Errors raised for configurations and their revisions."""

from __future__ import annotations

from collections.abc import Sequence

from hollyring.core import errors


class ConfigurationError(errors.HollyringError):
    """A configuration or stored value is unusable."""


class InvalidConfigurationError(ConfigurationError):
    """A configuration fails validation.

    Parameters
    ----------
    findings
        One line for each error: field, value and allowed values.
    """

    def __init__(self, findings: Sequence[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = list(findings)


class UnusableRevisionError(ConfigurationError):
    """A stored revision or snapshot cannot be decoded or is inconsistent."""


class DivergedError(ConfigurationError):
    """A stored revision is not the successor of the current revision."""
