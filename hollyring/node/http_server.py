"""uvicorn's server without its own handling of signals."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import uvicorn


class Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield
