"""An organisation's token rate and burst, counted across all VMs."""

from hollyring.limits import errors, holders, messages, settings
from hollyring.limits.limiter import Limiter

__all__ = ["Limiter", "errors", "holders", "messages", "settings"]
