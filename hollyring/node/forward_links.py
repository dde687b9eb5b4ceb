"""Links to other VMs that carry one forwarded request at a time and are kept for the next one."""

from __future__ import annotations

import anyio

from hollyring.node import clock, errors, peer_link, peers, wire

CONNECT_SECONDS = 0.4
"""Timeout of connecting to a VM whose heartbeats arrive."""

MAX_IDLE_SECONDS = 4.0
"""Time for which an idle link is kept; shorter than the other VM keeps it."""

MAX_IDLE_LINKS = 16
"""Most idle links to one VM."""

SWEEP_SECONDS = 1.0
"""Time between two searches for links that were idle too long."""


class ForwardLinks:
    """Links by the address of the VM that they lead to.

    Parameters
    ----------
    connections
        Opens connections to other VMs.
    codec
        Encodes and decodes messages.
    """

    __slots__ = ("_connections", "_codec", "_idle")

    def __init__(self, connections: peers.PeerConnections, codec: wire.Codec) -> None:
        self._connections = connections
        self._codec = codec
        self._idle: dict[str, list[tuple[peer_link.Link, float]]] = {}

    async def acquire(self, address: str) -> peer_link.Link:
        """Return an idle link that is still open, or a new one.

        Raises
        ------
        LinkLostError
            If the VM cannot be connected to.
        """
        idle = self._idle.get(address, [])
        while idle:
            link, since = idle.pop()
            if clock.now() - since <= MAX_IDLE_SECONDS and not link.is_stale:
                return link
            await link.close()
        try:
            with anyio.fail_after(CONNECT_SECONDS):
                session = await self._connections.open_session(address)
        except (*peers.CONNECTION_ERRORS, errors.PeerError, ValueError) as error:
            raise peer_link.LinkLostError(f"no link: {type(error).__name__}") from error
        return peer_link.Link(session, self._codec)

    async def release(self, address: str, link: peer_link.Link) -> None:
        """Keep a link for the next request; it must have carried the whole of the last answer."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_LINKS:
            await link.close()
            return
        idle.append((link, clock.now()))

    async def sweep(self) -> None:
        """Close links that are idle for too long, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            await self._close_expired(clock.now())

    async def _close_expired(self, now: float) -> None:
        for address, idle in list(self._idle.items()):
            expired = [link for link, since in idle if now - since > MAX_IDLE_SECONDS]
            idle[:] = [(link, since) for link, since in idle if now - since <= MAX_IDLE_SECONDS]
            if not idle:
                del self._idle[address]
            for link in expired:
                await link.close()
