"""Rendezvous hashing: all VMs compute the same ranking of members without communication."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(key: bytes, member: str) -> int:
    """Return the 64-bit weight of `member` for `key`."""
    return xxhash.xxh3_64_intdigest(member.encode(), seed=xxhash.xxh3_64_intdigest(key))


def first(key: bytes, members: Iterable[str]) -> str:
    """Return the member that ranks first for `key`, of one or more.

    Examples
    --------
    >>> members = ["vm-1", "vm-2", "vm-3"]
    >>> first(b"circular-7", members) == rank(b"circular-7", members)[0]
    True
    """
    seed = xxhash.xxh3_64_intdigest(key)
    digest = xxhash.xxh3_64_intdigest
    return min(members, key=lambda member: (-digest(member.encode(), seed=seed), member))


def rank(key: bytes, members: Iterable[str]) -> list[str]:
    """Return `members` in descending order of their weight for `key`.

    Removing a member reassigns only the keys for which it ranked first.

    Examples
    --------
    >>> rank(b"circular-7", ["vm-1", "vm-2", "vm-3"])[0] in {"vm-1", "vm-2", "vm-3"}
    True
    >>> full = rank(b"circular-7", ["vm-1", "vm-2", "vm-3"])
    >>> rank(b"circular-7", full[1:]) == full[1:]
    True

    References
    ----------
    D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    seed = xxhash.xxh3_64_intdigest(key)
    digest = xxhash.xxh3_64_intdigest
    return sorted(members, key=lambda member: (-digest(member.encode(), seed=seed), member))
