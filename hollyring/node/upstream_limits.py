"""Recording of the limits that upstreams name in their answers: of requests and of rejections."""

from __future__ import annotations

import enum

from hollyring.core import identities
from hollyring.membership import heartbeat
from hollyring.node import interfaces, logs
from hollyring.routing import registry, request_limits

NO_LIMIT = -1.0
"""Rate in messages that tell of the end of a limit."""


class Kind(enum.Enum):
    """What a limit counts: requests, or rejections for want of room."""

    REQUESTS = "requests"
    REJECTIONS = "rejections"


class UpstreamLimits:
    """Records limits of one kind, logs them and tells the other VMs.

    Parameters
    ----------
    limits
        Limits of the registry that are updated.
    kind
        What is limited, for the log.
    """

    __slots__ = ("_limits", "_kind", "_unreported", "_named", "_log")

    def __init__(self, limits: request_limits.RequestLimits, kind: Kind) -> None:
        self._limits = limits
        self._kind = kind
        self._unreported: set[identities.Incarnation] = set()
        self._named = 0
        self._log = logs.Logger("limits")

    @property
    def named(self) -> int:
        """Number of limits that upstreams named or changed since the start, as this VM knows."""
        return self._named

    def record(
        self,
        upstream: registry.Upstream,
        head: interfaces.ResponseHead,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what an answer to a request that was sent at `sent_at` says of the limit."""
        limit = self._named_in(head)
        is_own_answer = head.authentic or (head.not_run and not head.misdirected)
        if limit is None and not is_own_answer:
            # Answers to other calls than requests need not name a limit that holds.
            return
        if self._limits.record(upstream.incarnation, limit, sent_at, now):
            self._unreported.add(upstream.incarnation)
            self._log_change(upstream.incarnation, "answer")

    def receive(
        self, sender: str, reported: list[heartbeat.UpstreamRequestLimit], now: float
    ) -> None:
        """Take what another VM tells of limits."""
        for item in reported:
            upstream = identities.Incarnation(item.upstream, item.life)
            per_second = item.per_second if item.per_second > 0.0 else None
            observed = request_limits.ObservedLimit(per_second, now - item.age_seconds)
            if self._limits.adopt(upstream, observed):
                self._log_change(upstream, sender)

    def take_unreported(self, now: float, repeat: bool) -> list[heartbeat.UpstreamRequestLimit]:
        """Return what to tell in the next heartbeat: what has changed, or all that is known."""
        unreported, self._unreported = self._unreported, set()
        return [item for item in self.all(now) if repeat or _incarnation(item) in unreported]

    def all(self, now: float) -> list[heartbeat.UpstreamRequestLimit]:
        """Return all that is known of limits."""
        return [
            heartbeat.UpstreamRequestLimit(
                upstream.name,
                upstream.number,
                NO_LIMIT if observed.per_second is None else observed.per_second,
                round(now - observed.at, 3),
            )
            for upstream, observed in self._limits.observations()
        ]

    def _named_in(self, head: interfaces.ResponseHead) -> float | None:
        match self._kind:
            case Kind.REQUESTS:
                return head.request_limit
            case Kind.REJECTIONS:
                return head.rejection_limit

    def _log_change(self, upstream: identities.Incarnation, source: str) -> None:
        per_second = self._limits.per_second(upstream)
        self._named += per_second is not None
        self._log.info(
            "upstream ended its limit" if per_second is None else "upstream named a limit",
            upstream=upstream.name,
            life=upstream.number,
            of=self._kind.value,
            per_second=per_second,
            source=source,
        )


def _incarnation(item: heartbeat.UpstreamRequestLimit) -> identities.Incarnation:
    return identities.Incarnation(item.upstream, item.life)
