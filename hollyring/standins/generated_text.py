"""The text that the language server stand-in generates, which anybody can compute."""

from __future__ import annotations

import xxhash

from hollyring.core import prompt_blocks


def generate_token(seed: int, index: int) -> str:
    """Return token `index` of the answer to the prompt whose hash is `seed`."""
    return f"{xxhash.xxh3_64_intdigest(index.to_bytes(4, 'big'), seed=seed) & 0xFFFF:04x}"


def prompt_seed(prompt: bytes) -> int:
    """Return the hash of a rendered prompt that `token` starts from."""
    return xxhash.xxh3_64_intdigest(prompt)


def expected_tokens(prompt: bytes, count: int) -> list[str]:
    """Return the first `count` tokens of the answer to `prompt`, on whichever engine.

    Parameters
    ----------
    prompt
        Prompt bytes as rendered by `hollyring.core.prompt_blocks.render`, or a completion's prompt.
    count
        How many tokens; each has `prompt_blocks.TOKEN_BYTES` characters.

    Examples
    --------
    >>> expected_tokens(b"Is Kigoma eligible?", 3) == expected_tokens(b"Is Kigoma eligible?", 4)[:3]
    True
    """
    start = prompt_seed(prompt)
    return [generate_token(start, index) for index in range(count)]


def count_tokens(resume_text: str) -> int:
    """Return how many tokens `resume_text` holds."""
    return len(resume_text) // prompt_blocks.TOKEN_BYTES
