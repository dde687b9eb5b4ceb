"""Tables that keep their newest entries."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any


def limit(table: collections.OrderedDict[Any, Any], size: int) -> None:
    """Remove the oldest entries of a table beyond `size`."""
    while len(table) > size:
        table.popitem(last=False)


def limit_each(
    table: collections.OrderedDict[Any, Any], size: int, kind: Callable[[Any], Any]
) -> None:
    """Remove the oldest entries of each kind beyond `size`; many of one do not displace others.

    Examples
    --------
    >>> table = collections.OrderedDict.fromkeys(["a", "b1", "b2", "b3"])
    >>> limit_each(table, 2, kind=lambda key: key[0])
    >>> list(table)
    ['a', 'b2', 'b3']
    """
    if len(table) <= size:
        return
    counts = collections.Counter(map(kind, table))
    for key in list(table):
        if counts[kind(key)] > size:
            counts[kind(key)] -= 1
            del table[key]
