"""Errors of configurations and their revisions."""

from __future__ import annotations

from collections.abc import Sequence

from hollyring.core import errors


class ConfigurationError(errors.HollyringError):
    """A configuration or a stored value that can't be used."""


class InvalidConfigurationError(ConfigurationError):
    """A configuration with faults.

    Parameters
    ----------
    findings
        One line for each fault: field, value and what is allowed.
    """

    def __init__(self, findings: Sequence[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = list(findings)


class UnusableRevisionError(ConfigurationError):
    """A stored revision or snapshot that can't be decoded or contradicts itself."""


class DivergedError(ConfigurationError):
    """A stored revision that does not follow from what is in force."""
