"""Block hashes of a prompt's nested prefixes, and parsing of the hashes that engines publish."""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.core import prompt_blocks
from hollyring.routing import errors

HASH_BYTES = 8
"""Size of one packed block hash."""

_HEX_DIGITS = 2 * HASH_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Chained hashes of a prompt's whole blocks, with the values used as their salt.

    Parameters
    ----------
    organisation, model, version
        Values that salt the hashes.
    hashes
        64-bit hashes, shortest prefix first; ``hashes[i]`` covers the first ``i + 1`` blocks.
    """

    organisation: str
    model: str
    version: str
    hashes: tuple[int, ...]

    def __len__(self) -> int:
        return len(self.hashes)

    def hash_at(self, depth: int) -> int:
        """Return the hash of the prefix of `depth` blocks, or of the whole chain if shorter."""
        return self.hashes[min(depth, len(self.hashes)) - 1]


def chain(organisation: str, model: str, version: str, prompt: bytes) -> Chain:
    """Return the hash chain of a rendered prompt.

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
    """Incremental hash chain of a prompt; equals `chain` of all bytes together.

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
        """Append bytes of the prompt and return the number of whole blocks so far."""
        self._rest += data
        whole = len(self._rest) // prompt_blocks.BLOCK_BYTES * prompt_blocks.BLOCK_BYTES
        with memoryview(self._rest) as view:
            for start in range(0, whole, prompt_blocks.BLOCK_BYTES):
                block = view[start : start + prompt_blocks.BLOCK_BYTES]
                self._seed = xxhash.xxh3_64_intdigest(block, seed=self._seed)
                self._hashes.append(self._seed)
                block.release()
        del self._rest[:whole]
        return len(self._hashes)

    def chain(self) -> Chain:
        """Return the hash chain of the bytes so far."""
        return Chain(self._organisation, self._model, self._version, tuple(self._hashes))


def parse_block_hash(text: str) -> int:
    """Parse a block hash from the 16 hexadecimal digits in an engine's event.

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
        raise errors.BlockHashError(
            f"block hash has {len(text)} characters, expected {_HEX_DIGITS}"
        )
    try:
        return int(text, 16)
    except ValueError as error:
        raise errors.BlockHashError(f"block hash {text!r} is not hexadecimal") from error


def pack(hashes: list[int]) -> bytes:
    """Return `hashes` as 8 big-endian bytes each, the format in lookups.

    Examples
    --------
    >>> unpack(pack([1, 2**64 - 1])) == [1, 2**64 - 1]
    True
    """
    return b"".join(block_hash.to_bytes(HASH_BYTES, "big") for block_hash in hashes)


def unpack(packed: bytes) -> list[int]:
    """Return the hashes that `pack` encoded."""
    starts = range(0, len(packed), HASH_BYTES)
    return [int.from_bytes(packed[start : start + HASH_BYTES], "big") for start in starts]
