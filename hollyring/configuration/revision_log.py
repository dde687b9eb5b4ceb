"""The latest revisions' stored values, kept in memory for peers and for an older store."""

from __future__ import annotations

import collections

MAX_COUNT = 512
MAX_BYTES = 400_000


class RevisionLog:
    """Stored values of consecutive revisions, oldest dropped first.

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
        """Number of the oldest revision held; one after the newest if none is."""
        return self._first_revision

    @property
    def newest_value(self) -> bytes:
        """Value of the newest revision held, empty if none is."""
        return self._values[-1] if self._values else b""

    def reset(self, revision: int, value: bytes) -> None:
        """Hold nothing but the value of `revision`."""
        self._first_revision = revision
        self._values.clear()
        self._total_bytes = 0
        self._append(value)

    def append(self, value: bytes) -> None:
        """Hold the value of the next revision, too."""
        self._append(value)
        while len(self._values) > 1 and self._exceeds_limits():
            self._total_bytes -= len(self._values.popleft())
            self._first_revision += 1

    def get(self, revision: int) -> bytes | None:
        """Return the value of `revision`, None if it is not held."""
        index = revision - self._first_revision
        return self._values[index] if 0 <= index < len(self._values) else None

    def values_after(self, revision: int, max_bytes: int) -> list[bytes] | None:
        """Return values that follow `revision`, at least one and up to `max_bytes`.

        None if the one that follows has been dropped.
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
        return len(self._values) > MAX_COUNT or self._total_bytes > MAX_BYTES
