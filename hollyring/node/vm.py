"""What one request needs of its VM: the parts it asks, the clients it uses, its bounds."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities, invariants
from hollyring.limits import retry_budget
from hollyring.node import (
    claims_part,
    configuration_part,
    engines,
    limits_part,
    membership_part,
    metrics,
    routing_part,
    services,
    settings,
)


@dataclasses.dataclass(frozen=True, slots=True)
class VM:
    """The running VM process.

    Parameters
    ----------
    incarnation
        This life of the process.
    """

    incarnation: identities.Incarnation
    settings: settings.Settings
    configuration: configuration_part.ConfigurationPart
    limits: limits_part.LimitsPart
    routing: routing_part.RoutingPart
    claims: claims_part.ClaimsPart
    membership: membership_part.MembershipPart
    engines: engines.Engines
    services: services.Services
    retries: retry_budget.RetryBudget
    metrics: metrics.Metrics
    invariants: invariants.Invariants
