"""Identities, results, invariants and hashing that every other package may use."""

from hollyring.core import errors, execution, identities, invariants, prompt_blocks, rendezvous

__all__ = ["errors", "execution", "identities", "invariants", "prompt_blocks", "rendezvous"]
