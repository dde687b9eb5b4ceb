"""Key of a lease that another writer put without a lease, so that nothing removes it."""

from __future__ import annotations


class UnleasedKey:
    """Tells when a key without a lease may be written over, under the condition of its version.

    A holder whose key was written over renews its lease only as long as it reads the key that it
    wrote. Its right therefore ends one time to live after the other writer's change at the latest,
    which is not after the first answer that showed that change.

    Parameters
    ----------
    wait_seconds
        Time to live of a lease, by the slowest clock.

    Examples
    --------
    >>> key = UnleasedKey(wait_seconds=3.0)
    >>> key.observe(version=7, now=10.0), key.observe(version=7, now=12.9)
    (False, False)
    >>> key.observe(version=7, now=13.0), key.observe(version=8, now=13.1)
    (True, False)
    """

    __slots__ = ("_wait_seconds", "_version", "_seen_at")

    def __init__(self, wait_seconds: float) -> None:
        self._wait_seconds = wait_seconds
        self._version = 0
        self._seen_at = 0.0

    def observe(self, version: int, now: float) -> bool:
        """Record an answer with the key's version, and return whether the key may be replaced."""
        if version != self._version:
            self._version = version
            self._seen_at = now
        return now - self._seen_at >= self._wait_seconds
