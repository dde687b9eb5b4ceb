"""What routing knows of an upstream from the configuration and the membership."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model in the weights version that an upstream serves."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A language server that requests may be routed to.

    Parameters
    ----------
    name, failure_domain
        As configured.
    served
        The models it serves now.
    incarnation
        The number of its present life, as its load report or event stream last showed it.
    round_trip_seconds
        Round trip from this VM: the cost of crossing to the upstream's failure domain.
    leaving
        It gets no new work.
    prefill_tokens_per_second
        Its prefill speed until its first load report.
    import_tokens_per_second
        Speed of a KV import from the cache store; zero where there is none.
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
        """Tell whether new requests for this model and version may go here."""
        return not self.leaving and ServedModel(model, version) in self.served
