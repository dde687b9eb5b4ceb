"""Cutting a prompt into pieces and naming each prefix by a chained hash.

The rule is the one the engines publish for their cache blocks: a piece is `BLOCK_BYTES` of the
rendered prompt and its name covers the salt and every piece before it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

TOKEN_BYTES = 4
"""Bytes of prompt that the engines count as one token."""

BLOCK_TOKENS = 1024
"""Tokens in one cached piece."""

BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES


def render(messages: Iterable[Mapping[str, object]]) -> bytes:
    r"""Return the prompt bytes of a chat, by the engines' published template.

    Examples
    --------
    >>> render([{"role": "user", "content": "Is Kigoma eligible?"}])
    b'<|user|>\nIs Kigoma eligible?\n'
    """
    parts = [f"<|{message['role']}|>\n{message['content']}\n" for message in messages]
    return "".join(parts).encode()


def token_count(prompt: bytes) -> int:
    """Return the tokens of `prompt`, the last one possibly short."""
    return -(-len(prompt) // TOKEN_BYTES)


def salt(organisation: str, model: str, version: str) -> int:
    """Return the 64-bit salt that separates organisations, models and weights versions."""
    return xxhash.xxh3_64_intdigest("\0".join((organisation, model, version)).encode())


def block_hashes(seed: int, prompt: bytes) -> list[int]:
    """Return the 64-bit name of each whole piece of `prompt`, shortest prefix first.

    Parameters
    ----------
    seed
        The salt from `salt`.
    prompt
        Rendered prompt bytes; a last piece shorter than `BLOCK_BYTES` has no name.

    Examples
    --------
    >>> one, two = block_hashes(7, b"x" * 2 * BLOCK_BYTES)
    >>> block_hashes(7, b"x" * BLOCK_BYTES) == [one]
    True
    >>> block_hashes(8, b"x" * BLOCK_BYTES) == [one]
    False
    """
    names = []
    view = memoryview(prompt)
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxhash.xxh3_64_intdigest(view[start : start + BLOCK_BYTES], seed=seed)
        names.append(seed)
    return names
