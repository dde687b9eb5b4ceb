"""Ranges of loopback ports, reserved against the other processes of the host."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable

_reservations: dict[int, socket.socket] = {}
"""Listening socket at the last port of each range that this process has reserved."""


def reserve(bases: Iterable[int], size: int, is_free: Callable[[int], bool]) -> int | None:
    """Reserve the first free range of `size` ports until `release` or the end of the process.

    Parameters
    ----------
    bases
        First ports of the ranges to try.
    size
        Number of ports of a range; the last one is held, and must not be used.
    is_free
        Returns whether the ports of the range that has this first port are free. It is called
        while the range is reserved.

    Returns
    -------
    int or None
        First port of the range, or None if no range is free.
    """
    for base in bases:
        reservation = _listen(base + size - 1)
        if reservation is None:
            continue
        if is_free(base):
            _reservations[base] = reservation
            return base
        reservation.close()
    return None


def release(base: int) -> None:
    """Let other processes reserve the range again, if this process had reserved it."""
    with contextlib.suppress(KeyError):
        _reservations.pop(base).close()


def _listen(port: int) -> socket.socket | None:
    reservation = socket.socket()
    # Closed connections of an earlier process keep a port in TIME_WAIT; nobody listens there then.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        reservation.bind(("127.0.0.1", port))
        reservation.listen()
    except OSError:
        reservation.close()
        return None
    return reservation
