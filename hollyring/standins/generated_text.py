"""Deterministic output of the inference server stand-in, which tests compute independently."""

from __future__ import annotations

import xxhash

from hollyring.core import prompt_blocks


def generate_token(seed: int, index: int) -> str:
    """Return the token at position `index` of the completion for the prompt with hash `seed`."""
    return f"{xxhash.xxh3_64_intdigest(index.to_bytes(4, 'big'), seed=seed) & 0xFFFF:04x}"


def prompt_seed(prompt: bytes) -> int:
    """Return the hash of a rendered prompt, which is the seed of `generate_token`."""
    return xxhash.xxh3_64_intdigest(prompt)


def expected_tokens(prompt: bytes, count: int) -> list[str]:
    """Return the first `count` tokens of the completion for `prompt`, equal on all engines.

    Parameters
    ----------
    prompt
        Chat messages rendered by `hollyring.core.prompt_blocks.render`, or a plain prompt.
    count
        Number of tokens; each has `prompt_blocks.TOKEN_BYTES` characters.

    Examples
    --------
    >>> expected_tokens(b"Is Kigoma eligible?", 3) == expected_tokens(b"Is Kigoma eligible?", 4)[:3]
    True
    """
    start = prompt_seed(prompt)
    return [generate_token(start, index) for index in range(count)]


def count_tokens(resume_text: str) -> int:
    """Return the number of tokens in `resume_text`."""
    return len(resume_text) // prompt_blocks.TOKEN_BYTES
