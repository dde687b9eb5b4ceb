"""Division of a prompt into KV cache blocks, identified by chained hashes.

This follows the scheme that the inference servers publish for their cache blocks: a block is
`BLOCK_BYTES` of the rendered prompt, and its hash covers the salt and all preceding blocks.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

TOKEN_BYTES = 4
"""Prompt bytes that the inference servers count as one token."""

BLOCK_TOKENS = 1024
"""Tokens per KV cache block."""

BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES


def render(messages: Iterable[Mapping[str, object]]) -> bytes:
    r"""Render chat messages to prompt bytes, with the template that inference servers publish.

    Examples
    --------
    >>> render([{"role": "user", "content": "Is Kigoma eligible?"}])
    b'<|user|>\nIs Kigoma eligible?\n'
    """
    parts = [f"<|{message['role']}|>\n{message['content']}\n" for message in messages]
    return "".join(parts).encode()


def token_count(prompt: bytes) -> int:
    """Return the number of tokens in `prompt`, including a partial last token."""
    return -(-len(prompt) // TOKEN_BYTES)


def salt(organisation: str, model: str, version: str) -> int:
    """Return the 64-bit salt of block hashes for an organisation, a model and its version."""
    return xxhash.xxh3_64_intdigest("\0".join((organisation, model, version)).encode())


def block_hashes(seed: int, prompt: bytes) -> list[int]:
    """Return the 64-bit chained hash of each complete block of `prompt`, in order.

    Parameters
    ----------
    seed
        Initial value of the hash chain, as returned by `salt`.
    prompt
        Rendered prompt bytes. A partial last block has no hash.

    Examples
    --------
    >>> one, two = block_hashes(7, b"x" * 2 * BLOCK_BYTES)
    >>> block_hashes(7, b"x" * BLOCK_BYTES) == [one]
    True
    >>> block_hashes(8, b"x" * BLOCK_BYTES) == [one]
    False
    """
    hashes = []
    view = memoryview(prompt)
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxhash.xxh3_64_intdigest(view[start : start + BLOCK_BYTES], seed=seed)
        hashes.append(seed)
    return hashes
