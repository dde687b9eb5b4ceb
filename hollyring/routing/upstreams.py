"""Upstreams as routing sees them, from the configuration and the membership."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model and the version of its weights that an upstream serves."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An inference server that requests may be routed to.

    Parameters
    ----------
    name, failure_domain
        Name and failure domain, as configured.
    served
        Models that it serves now.
    incarnation
        Its current incarnation, from its last load report or its event stream.
    round_trip_seconds
        Round-trip time from this VM, which depends on the upstream's failure domain.
    leaving
        Whether it receives no new requests.
    prefill_tokens_per_second
        Prefill speed assumed until its first load report.
    import_tokens_per_second
        Speed of importing KV blocks from the cache store; zero if there is no store.
    """

    name: str
    failure_domain: str
    served: tuple[ServedModel, ...]
    incarnation: int = 0
    round_trip_seconds: float = 0.001
    leaving: bool = False
    prefill_tokens_per_second: float = 10_000.0
    import_tokens_per_second: float = 0.0

    def serves(self, model: str, version: str) -> bool:
        """Return whether new requests for this model and version may be sent here."""
        return not self.leaving and ServedModel(model, version) in self.served
