"""An organisation's token rate and burst, counted across all VMs."""

from hollyring.limits import budget, errors, fairness, holders, messages, settings
from hollyring.limits.limiter import Limiter, Update

__all__ = ["Limiter", "Update", "budget", "errors", "fairness", "holders", "messages", "settings"]
