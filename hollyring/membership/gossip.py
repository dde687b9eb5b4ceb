"""News waiting to be passed on with heartbeats, bounded in bytes per message."""

from __future__ import annotations

import dataclasses
import math

from hollyring.membership import messages

NEWS_BYTES = 160
"""Most bytes of news in one heartbeat."""

FIELD_BYTES = 3
"""Encoded overhead counted for each field."""

MAX_NEWS = 2_048
"""Items that wait at most; the most often sent are dropped first."""

Item = messages.Profile | messages.Update | messages.Entry


@dataclasses.dataclass(slots=True)
class _Waiting:
    item: Item
    size: int
    sent: int = 0


class Gossip:
    """Items still to be passed on; a newer item about the same thing takes an older one's place.

    Examples
    --------
    >>> gossip = Gossip()
    >>> gossip.add(messages.Update("vm-1", 1, 0, messages.Status.SUSPECT))
    >>> gossip.add(messages.Update("vm-1", 1, 1, messages.Status.ALIVE))
    >>> [update.refutation for update in gossip.take(members=9).updates]
    [1]
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, str], _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, item: Item) -> None:
        """Pass `item` on from now on."""
        if len(self._waiting) >= MAX_NEWS:
            most = max(self._waiting, key=lambda key: self._waiting[key].sent)
            del self._waiting[most]
        key = (type(item).__name__, item.name)
        self._waiting.pop(key, None)
        self._waiting[key] = _Waiting(item, size(item))

    def take(self, members: int, first: list[Item] | None = None) -> messages.News:
        """Return the news for one heartbeat: `first`, then what was sent least often.

        Of those sent equally often the newest come first: when more is new than can be passed
        on, what is old anyway waits.

        Parameters
        ----------
        members
            Size of the fleet, which decides how often an item is sent.
        first
            Items that this receiver must hear.
        """
        chosen = list(first or [])
        left = NEWS_BYTES - sum(size(item) for item in chosen)
        limit = transmissions(members)
        newest_first = reversed(list(self._waiting.items()))
        for key, waiting in sorted(newest_first, key=lambda pair: pair[1].sent):
            if waiting.size > left:
                continue
            left -= waiting.size
            waiting.sent += 1
            chosen.append(waiting.item)
            if waiting.sent >= limit:
                del self._waiting[key]
        return news(chosen)


def transmissions(members: int) -> int:
    """Return how often one VM passes an item on; it grows with the logarithm of the fleet."""
    return 2 * math.ceil(math.log2(members + 1)) + 2


def news(items: list[Item]) -> messages.News:
    """Return items sorted by their kind."""
    return messages.News(
        [item for item in items if isinstance(item, messages.Profile)],
        [item for item in items if isinstance(item, messages.Update)],
        [item for item in items if isinstance(item, messages.Entry)],
    )


def size(item: Item) -> int:
    """Return about how many bytes an item takes when encoded."""
    match item:
        case messages.Profile():
            texts = (item.name, item.address, item.caller_address, item.failure_domain, item.region)
            return sum(len(text) + FIELD_BYTES for text in texts) + 3 * FIELD_BYTES
        case messages.Update():
            return len(item.name) + 4 * FIELD_BYTES
        case messages.Entry():
            return len(item.name) + len(item.value) + 4 * FIELD_BYTES
