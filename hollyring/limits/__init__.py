"""Rate limits of organisations, enforced across all VMs, and retry budgets."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "allocation",
    "barrier",
    "borrower",
    "errors",
    "holders",
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
