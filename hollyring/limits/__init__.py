"""An organisation's token rate and burst, counted across all VMs."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "borrower",
    "budget",
    "errors",
    "fence",
    "holders",
    "layout",
    "lender",
    "limiter",
    "messages",
    "organisation_rates",
    "service_retries",
    "settings",
    "share",
    "shared_rate",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
