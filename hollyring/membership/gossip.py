"""Queue of gossip that is piggybacked on protocol messages, bounded in bytes per message."""

from __future__ import annotations

import dataclasses
import math

from hollyring.membership import messages

MAX_PAYLOAD_BYTES = 160
"""Maximum size of the gossip in one message."""

FIELD_OVERHEAD_BYTES = 3
"""Estimated overhead of the encoding of each field."""

MAX_QUEUED_ITEMS = 2_048
"""Maximum length of the queue; the item that was sent most often is dropped first."""

Item = messages.Profile | messages.Update | messages.Entry


@dataclasses.dataclass(slots=True)
class _QueuedItem:
    item: Item
    size: int
    send_count: int = 0


class Queue:
    """Items still to be sent; a new item replaces a queued one of the same kind and name.

    Examples
    --------
    >>> queue = Queue()
    >>> queue.add(messages.Update("vm-1", 1, 0, messages.Status.SUSPECT))
    >>> queue.add(messages.Update("vm-1", 1, 1, messages.Status.ALIVE))
    >>> [update.refutation for update in queue.next_payload(members=9).updates]
    [1]
    """

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[tuple[str, str], _QueuedItem] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, item: Item) -> None:
        """Add `item` to the queue."""
        if len(self._queued) >= MAX_QUEUED_ITEMS:
            most_sent = max(self._queued, key=lambda key: self._queued[key].send_count)
            del self._queued[most_sent]
        key = (type(item).__name__, item.name)
        self._queued.pop(key, None)
        self._queued[key] = _QueuedItem(item, estimated_bytes(item))

    def next_payload(self, members: int, urgent: list[Item] | None = None) -> messages.Gossip:
        """Return the gossip for one message: `urgent`, then the items that were sent least often.

        Of the items that were sent equally often the newest come first, so that under overload
        older items are delayed rather than new ones.

        Parameters
        ----------
        members
            Size of the fleet, which determines how often an item is sent.
        urgent
            Items that the recipient must receive with this message.
        """
        chosen = list(urgent or [])
        remaining_bytes = MAX_PAYLOAD_BYTES - sum(estimated_bytes(item) for item in chosen)
        limit = transmission_limit(members)
        newest_first = reversed(list(self._queued.items()))
        for key, queued in sorted(newest_first, key=lambda pair: pair[1].send_count):
            if queued.size > remaining_bytes:
                continue
            remaining_bytes -= queued.size
            queued.send_count += 1
            chosen.append(queued.item)
            if queued.send_count >= limit:
                del self._queued[key]
        return build_payload(chosen)


def transmission_limit(members: int) -> int:
    """Return how often a VM sends an item, which grows with the logarithm of the fleet size."""
    return 2 * math.ceil(math.log2(members + 1)) + 2


def build_payload(items: list[Item]) -> messages.Gossip:
    """Return gossip that contains `items`, grouped by kind."""
    return messages.Gossip(
        [item for item in items if isinstance(item, messages.Profile)],
        [item for item in items if isinstance(item, messages.Update)],
        [item for item in items if isinstance(item, messages.Entry)],
    )


def estimated_bytes(item: Item) -> int:
    """Return the approximate encoded size of an item in bytes."""
    match item:
        case messages.Profile():
            texts = (item.name, item.address, item.caller_address, item.failure_domain, item.region)
            return (
                sum(len(text) + FIELD_OVERHEAD_BYTES for text in texts) + 3 * FIELD_OVERHEAD_BYTES
            )
        case messages.Update():
            return len(item.name) + 4 * FIELD_OVERHEAD_BYTES
        case messages.Entry():
            return len(item.name) + len(item.value) + 4 * FIELD_OVERHEAD_BYTES
