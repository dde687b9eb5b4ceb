"""Message classes of VM processes on an adapter (`adapter_server`), by wire name."""

from __future__ import annotations

from hollyring.membership import heartbeat
from hollyring.node import thrift_names

MESSAGES: dict[str, type] = {
    thrift_names.wire_name(class_): class_
    for class_ in (
        heartbeat.Heartbeat,
        heartbeat.StatusRequest,
        heartbeat.FleetStatus,
        heartbeat.CopyRequest,
        heartbeat.Copy,
        heartbeat.PermitRequest,
        heartbeat.PermitReply,
        heartbeat.PlaceReport,
        heartbeat.CacheRequest,
        heartbeat.CacheContents,
    )
}
