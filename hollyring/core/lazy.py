"""Packages whose modules are imported when they are first used, so that a process starts fast."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Sequence
from typing import Any


def submodule_getattr(package: str, names: Sequence[str]) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package with the modules `names`.

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
