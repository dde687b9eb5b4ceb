"""Lazy import of submodules, which shortens the start of a process."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Sequence
from typing import Any


def submodule_getattr(package: str, names: Sequence[str]) -> Callable[[str], Any]:
    """Return a package's ``__getattr__`` that imports its submodules `names` on first access.

    Examples
    --------
    >>> submodule_getattr("hollyring.core", ["rendezvous"])("rendezvous").__name__
    'hollyring.core.rendezvous'
    """

    def load(name: str) -> Any:
        if name in names:
            return importlib.import_module(f"{package}.{name}")
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return load
