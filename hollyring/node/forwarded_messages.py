"""Message classes of forwarded requests, by wire name."""

from __future__ import annotations

from hollyring.delivery import forwarded
from hollyring.node import thrift_names

MESSAGES: dict[str, type] = {
    thrift_names.wire_name(class_): class_
    for class_ in (
        forwarded.ForwardedRequest,
        forwarded.ForwardedRefusal,
        forwarded.ForwardedHead,
        forwarded.ForwardedData,
        forwarded.ForwardedWait,
        forwarded.ForwardedEnd,
        forwarded.ForwardedBreak,
    )
}
