"""Catalogue of the message classes that VMs exchange, by wire name."""

from __future__ import annotations

from hollyring.configuration import messages as configuration
from hollyring.delivery import messages as delivery
from hollyring.limits import messages as limits
from hollyring.membership import messages as membership
from hollyring.node import forwarded_messages, heartbeat_messages, thrift_names
from hollyring.routing import messages as routing

MESSAGES: dict[str, type] = heartbeat_messages.MESSAGES | {
    thrift_names.wire_name(class_): class_
    for class_ in (
        configuration.Digest,
        configuration.Fetch,
        configuration.Deltas,
        configuration.Segment,
        limits.Ask,
        limits.Grant,
        limits.Return,
        limits.ConfirmRequest,
        limits.Confirm,
        limits.SettledQuery,
        limits.Settled,
        delivery.ClaimQuestion,
        delivery.ClaimAnswer,
        membership.Ping,
        membership.Ack,
        membership.PingRequest,
        membership.SyncRequest,
        membership.Sync,
        routing.Lookup,
        routing.LookupAnswer,
    )
}
MESSAGES |= forwarded_messages.MESSAGES
"""All message classes; a wire name begins with the package that handles the message."""
