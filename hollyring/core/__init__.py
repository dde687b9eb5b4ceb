"""Types and functions that all packages share, e.g. errors, identities and hashing."""

from hollyring.core import errors, execution, identities, invariants, prompt_blocks, rendezvous

__all__ = ["errors", "execution", "identities", "invariants", "prompt_blocks", "rendezvous"]
