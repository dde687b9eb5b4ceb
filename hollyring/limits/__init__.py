"""An organisation's token rate and burst, counted across all VMs."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "borrower",
    "errors",
    "fence",
    "holders",
    "layout",
    "lender",
    "limiter",
    "messages",
    "organisation_rates",
    "replicated_bucket",
    "retry_budget",
    "service_retry_budgets",
    "settings",
    "share",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
