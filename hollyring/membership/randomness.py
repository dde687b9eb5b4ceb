"""Randomness that is handed in, so that a run can be repeated from its seed."""

from __future__ import annotations

from collections.abc import MutableSequence, Sequence
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Rng(Protocol):
    """The part of `random.Random` that the protocol draws from."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def randrange(self, start: int, /) -> int:
        """Return a whole number below `start`."""

    def choice(self, seq: Sequence[T], /) -> T:
        """Return one item."""

    def sample(self, population: Sequence[T], /, k: int) -> list[T]:
        """Return `k` different items."""

    def shuffle(self, x: MutableSequence[Any], /) -> None:
        """Put the items into random order."""
