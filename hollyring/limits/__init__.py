"""Rate limits of organisations, enforced across all VMs, and retry budgets.

There are two independent rate limiters. `limiter` divides each limit into shares, which lend tokens
to other VMs. `fleet_window`, used through `organisation_rates`, keeps a sliding window over the
whole fleet's admissions on each VM.
"""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "allocation",
    "barrier",
    "borrower",
    "errors",
    "fleet_window",
    "holders",
    "lender",
    "limiter",
    "messages",
    "organisation_rates",
    "retry_budget",
    "service_retry_budgets",
    "settings",
    "share",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
