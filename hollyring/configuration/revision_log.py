"""In-memory log of recent revisions, kept for lagging peers and a store that lost revisions."""

from __future__ import annotations

import collections

MAX_REVISIONS = 512
MAX_BYTES = 400_000


class RevisionLog:
    """Stored values of consecutive revisions; the oldest are evicted first.

    Examples
    --------
    >>> log = RevisionLog()
    >>> log.reset(4, b"four")
    >>> log.append(b"five")
    >>> log.get(5), log.get(3)
    (b'five', None)
    >>> log.values_after(4, 100)
    [b'five']
    >>> log.values_after(2, 100) is None
    True
    """

    __slots__ = ("_first_revision", "_values", "_total_bytes")

    def __init__(self) -> None:
        self._first_revision = 1
        self._values: collections.deque[bytes] = collections.deque()
        self._total_bytes = 0

    @property
    def oldest_revision(self) -> int:
        """Number of the oldest logged revision; 1 while the log is empty."""
        return self._first_revision

    @property
    def newest_value(self) -> bytes:
        """Stored value of the newest revision; empty while the log is empty."""
        return self._values[-1] if self._values else b""

    def reset(self, revision: int, value: bytes) -> None:
        """Replace the log by the value of `revision`."""
        self._first_revision = revision
        self._values.clear()
        self._total_bytes = 0
        self._append(value)

    def append(self, value: bytes) -> None:
        """Append the value of the next revision and evict the oldest beyond the limits."""
        self._append(value)
        while len(self._values) > 1 and self._exceeds_limits():
            self._total_bytes -= len(self._values.popleft())
            self._first_revision += 1

    def get(self, revision: int) -> bytes | None:
        """Return the value of `revision`, or None if it is not in the log."""
        index = revision - self._first_revision
        return self._values[index] if 0 <= index < len(self._values) else None

    def values_after(self, revision: int, max_bytes: int) -> list[bytes] | None:
        """Return the values after `revision`: at least one if there is any, up to `max_bytes`.

        Return None if the successor of `revision` has been evicted.
        """
        if revision + 1 < self._first_revision:
            return None
        values: list[bytes] = []
        size = 0
        for index in range(revision + 1 - self._first_revision, len(self._values)):
            size += len(self._values[index])
            if values and size > max_bytes:
                break
            values.append(self._values[index])
        return values

    def _append(self, value: bytes) -> None:
        self._values.append(value)
        self._total_bytes += len(value)

    def _exceeds_limits(self) -> bool:
        return len(self._values) > MAX_REVISIONS or self._total_bytes > MAX_BYTES
