"""Errors of the experiments."""

from __future__ import annotations

from hollyring.core import errors


class ExperimentError(errors.HollyringError):
    """An experiment could not be set up or executed."""
