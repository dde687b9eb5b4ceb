"""Types and functions that all packages share: identities, results, invariants, hashing."""

from hollyring.core import errors, execution, identities, invariants, prompt_blocks, rendezvous

__all__ = ["errors", "execution", "identities", "invariants", "prompt_blocks", "rendezvous"]
