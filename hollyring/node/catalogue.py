"""The messages that VMs exchange, by wire name."""

from __future__ import annotations

from hollyring.configuration import messages as configuration
from hollyring.delivery import messages as delivery
from hollyring.limits import messages as limits
from hollyring.membership import messages as membership
from hollyring.membership import pulse
from hollyring.routing import messages as routing

MESSAGES: dict[str, type] = {
    f"{class_.__module__.split('.')[1]}.{class_.__name__}": class_
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
        pulse.Pulse,
        pulse.CopyRequest,
        pulse.Copy,
        routing.Lookup,
        routing.LookupAnswer,
    )
}
"""Message classes of all parts; each belongs to the package that its wire name begins with."""


def thrift_name(class_: type) -> str:
    """Return the thrift struct's name of a message class, e.g. ``LimitsGrant``."""
    package = class_.__module__.split(".")[1]
    return package.capitalize() + class_.__name__
