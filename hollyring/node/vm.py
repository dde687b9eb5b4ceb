"""What one request needs of its VM: the parts it asks, the clients it uses, its bounds."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities, invariants
from hollyring.limits import retry_budget
from hollyring.node import (
    claims_actor,
    configuration_actor,
    engine_client,
    limits_actor,
    membership_actor,
    metrics,
    routing_actor,
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
    configuration: configuration_actor.ConfigurationActor
    limits: limits_actor.LimitsActor
    routing: routing_actor.RoutingActor
    claims: claims_actor.ClaimsActor
    membership: membership_actor.MembershipActor
    engines: engine_client.EngineClient
    services: services.ServiceClient
    retries: retry_budget.RetryBudget
    metrics: metrics.Metrics
    invariants: invariants.Invariants
