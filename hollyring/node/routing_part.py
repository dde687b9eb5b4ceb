"""The part that owns the router: chooses upstreams."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from hollyring.configuration import state
from hollyring.core import pieces, rendezvous
from hollyring.delivery import refusal
from hollyring.node import errors, requests, rights


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where one try goes."""

    upstream: str
    address: str
    salt: int


class RoutingPart:
    """Chooses an upstream for each try."""

    def __init__(self) -> None:
        self._configuration = state.Configuration()
        self._running: collections.Counter[str] = collections.Counter()

    def configure(self, configuration: state.Configuration) -> None:
        """Take in a configuration that came into force."""
        self._configuration = configuration

    async def route(
        self,
        completion: requests.Completion,
        caller: rights.Caller,
        version: str,
        excluded: list[str],
    ) -> Place | refusal.Refusal:
        """Return where the next try goes."""
        salt = pieces.salt(caller.organisation.name, completion.model, version)
        chain = pieces.chain(salt, completion.prompt)
        names = [
            u.name
            for u in self._configuration.upstreams.values()
            if u.kind == "engine" and u.name not in excluded and not u.leaving
        ]
        if not names:
            return refusal.make("no_upstream")
        key = (chain[0] if chain else salt).to_bytes(8, "big")
        name = min(rendezvous.rank(key, names)[:2], key=lambda n: self._running[n])
        return Place(name, self._configuration.upstreams[name].address, salt)

    def dispatched(self, place: Place, request_id: str) -> None:
        """Count a try."""
        self._running[place.upstream] += 1

    def first_token(self, place: Place, request_id: str) -> None:
        """Take note of a try's first token."""

    def finished(self, place: Place, request_id: str, usage: Any) -> None:
        """Count a try's end."""
        self._running[place.upstream] -= 1

    def failed(self, place: Place, error: errors.UpstreamError) -> None:
        """Take note of a failed try."""

    def may_retry(self) -> bool:
        """Tell whether the budget admits a retry."""
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state."""
        return {"running": dict(self._running)}
