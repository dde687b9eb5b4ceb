"""Orders to upstreams: weights, adapters, roles, rollout pace and drain."""
