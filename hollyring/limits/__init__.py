"""Rate limits of organisations, enforced across all VMs, and retry budgets.

There are two independent rate limiters. `limiter` divides each limit into shares, which lend tokens
to other VMs. `replicated_bucket`, used through `organisation_rates`, keeps a bucket for the whole
fleet on each VM.
"""

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
