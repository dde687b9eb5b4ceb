"""Names of a prompt's nested prefixes, and the adapter to the names that engines publish."""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.core import prompt_blocks
from hollyring.routing import errors

HASH_BYTES = 8
"""Bytes of one packed block name."""

_HEX_DIGITS = 2 * HASH_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """The names of a prompt's whole pieces, shortest prefix first, and whom they belong to.

    Parameters
    ----------
    organisation, model, version
        What the names are salted by.
    names
        64-bit names; ``names[i]`` covers the first ``i + 1`` pieces.
    """

    organisation: str
    model: str
    version: str
    hashes: tuple[int, ...]

    def __len__(self) -> int:
        return len(self.hashes)

    def hash_at(self, depth: int) -> int:
        """Return the name of the prefix of `depth` pieces, or of the whole chain if shorter."""
        return self.hashes[min(depth, len(self.hashes)) - 1]


def chain(organisation: str, model: str, version: str, prompt: bytes) -> Chain:
    """Return the chain of a rendered prompt.

    Examples
    --------
    >>> prompt = b"x" * (2 * prompt_blocks.BLOCK_BYTES + 9)
    >>> len(chain("bohari", "assistant", "v1", prompt))
    2
    >>> old = chain("bohari", "assistant", "v1", prompt).hashes
    >>> set(old) & set(chain("bohari", "assistant", "v2", prompt).hashes)
    set()
    """
    seed = prompt_blocks.salt(organisation, model, version)
    return Chain(organisation, model, version, tuple(prompt_blocks.block_hashes(seed, prompt)))


class ChainBuilder:
    """Names pieces while the prompt's bytes arrive; equals `chain` of the bytes together.

    Examples
    --------
    >>> builder = ChainBuilder("bohari", "assistant", "v1")
    >>> prompt = bytes(3 * prompt_blocks.BLOCK_BYTES)
    >>> builder.feed(prompt[:5000])
    1
    >>> builder.feed(prompt[5000:])
    3
    >>> builder.chain() == chain("bohari", "assistant", "v1", prompt)
    True
    """

    __slots__ = ("_organisation", "_model", "_version", "_hashes", "_rest", "_seed")

    def __init__(self, organisation: str, model: str, version: str) -> None:
        self._organisation = organisation
        self._model = model
        self._version = version
        self._hashes: list[int] = []
        self._rest = bytearray()
        self._seed = prompt_blocks.salt(organisation, model, version)

    def feed(self, data: bytes) -> int:
        """Take the next bytes of the prompt and return the number of whole pieces so far."""
        self._rest += data
        whole = len(self._rest) // prompt_blocks.BLOCK_BYTES * prompt_blocks.BLOCK_BYTES
        with memoryview(self._rest) as view:
            for start in range(0, whole, prompt_blocks.BLOCK_BYTES):
                piece = view[start : start + prompt_blocks.BLOCK_BYTES]
                self._seed = xxhash.xxh3_64_intdigest(piece, seed=self._seed)
                self._hashes.append(self._seed)
                piece.release()
        del self._rest[:whole]
        return len(self._hashes)

    def chain(self) -> Chain:
        """Return the chain of the bytes fed so far."""
        return Chain(self._organisation, self._model, self._version, tuple(self._hashes))


def parse_block_hash(text: str) -> int:
    """Return the name that an engine's event writes as 16 hexadecimal digits.

    Raises
    ------
    BlockHashError
        If `text` is anything else.

    Examples
    --------
    >>> parse_block_hash("00000000000000ff")
    255
    """
    if len(text) != _HEX_DIGITS:
        raise errors.BlockHashError(f"block name of {len(text)} digits")
    try:
        return int(text, 16)
    except ValueError as error:
        raise errors.BlockHashError(f"block name {text!r}") from error


def pack(hashes: list[int]) -> bytes:
    """Return `names` as 8 bytes each, as lookups carry them.

    Examples
    --------
    >>> unpack(pack([1, 2**64 - 1])) == [1, 2**64 - 1]
    True
    """
    return b"".join(block_hash.to_bytes(HASH_BYTES, "big") for block_hash in hashes)


def unpack(packed: bytes) -> list[int]:
    """Return the names that `pack` packed."""
    starts = range(0, len(packed), HASH_BYTES)
    return [int.from_bytes(packed[start : start + HASH_BYTES], "big") for start in starts]
