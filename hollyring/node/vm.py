"""Components of the VM process that request handlers use: actors, clients, settings and limits."""

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
    """Components of a running VM process.

    Parameters
    ----------
    incarnation
        Incarnation of this VM.
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
