"""The connections of a VM to upstreams and the store, a few kept for each address."""

from __future__ import annotations

import asyncio
import collections

from hollyring.node import clock, http_connection

CONNECT_SECONDS = 0.5
REACH_SECONDS = 0.25
"""An upstream whose machine is up takes a connection within this time."""

SWEEP_SECONDS = 0.5
"""Time between two looks at idle connections."""


class ConnectionPool:
    """The connections to all upstreams, a few kept for each."""

    __slots__ = ("_idle", "_open", "_opened")

    def __init__(self) -> None:
        self._idle: dict[str, list[http_connection.HttpConnection]] = {}
        self._open: collections.Counter[str] = collections.Counter()
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened since the start."""
        return self._opened

    def open_connections(self, address: str) -> int:
        """Return the connections that are open to `address`."""
        return self._open[address]

    async def acquire(
        self, address: str, max_connections: int, min_keep_alive_seconds: float = 0.0
    ) -> http_connection.HttpConnection:
        """Return an idle connection to `address`, or a new one.

        Parameters
        ----------
        max_connections
            Connections that may be open to this address.
        min_keep_alive_seconds
            Time for which the upstream must still keep an idle connection open.

        Raises
        ------
        http_link.NotSentError
            If none can be had.
        """
        now = clock.now()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.idle_seconds_left(now) > min_keep_alive_seconds:
                return connection
            connection.abort()
        if self._open[address] >= max_connections:
            raise http_connection.TooManyConnectionsError("too many connections")
        return await self._connect(address)

    async def can_connect(self, address: str) -> bool:
        """Tell whether an upstream takes a new connection, which is kept."""
        try:
            connection = await self._connect(address, REACH_SECONDS)
        except http_connection.NotSentError:
            return False
        connection.idle_since = clock.now()
        self._idle.setdefault(address, []).append(connection)
        return True

    async def connect(self, address: str) -> http_connection.HttpConnection:
        """Return a new connection: an idle one may be closed before a request gets through.

        Raises
        ------
        http_link.NotSentError
            If none can be had.
        """
        return await self._connect(address)

    async def call(self, address: str, request: bytes, seconds: float) -> http_connection.Response:
        """Return the answer to a call that no caller waits for, beside the bound.

        Raises
        ------
        http_link.LinkError
            If no whole answer came within `seconds`.
        """
        connection = await self.acquire(address, max_connections=self._open[address] + 1)
        try:
            async with asyncio.timeout(seconds):
                exchange = connection.send(request, http_connection.match_any)
                head = await exchange.head()
                return http_connection.Response(head.status, head.headers, await exchange.body())
        except TimeoutError as error:
            raise http_connection.HttpConnectionError("no answer in time") from error
        finally:
            self.release(address, connection)

    def release(self, address: str, connection: http_connection.HttpConnection) -> None:
        """Keep a connection whose exchange is over, or close it."""
        if connection.release():
            self._idle.setdefault(address, []).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    async def sweep(self) -> None:
        """Close connections that have been idle for too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.close_expired()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = clock.now()
        for idle in self._idle.values():
            for connection in [
                connection for connection in idle if connection.idle_seconds_left(now) <= 0
            ]:
                idle.remove(connection)
                connection.abort()

    async def _connect(
        self, address: str, seconds: float = CONNECT_SECONDS
    ) -> http_connection.HttpConnection:
        host, _, port = address.rpartition(":")
        self._open[address] += 1
        connection = http_connection.HttpConnection(lambda lost: self._lost(address, lost))
        try:
            async with asyncio.timeout(seconds):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: connection, host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            raise http_connection.NotSentError(f"no connection: {type(error).__name__}") from error
        finally:
            if not connection.was_connected:
                self._open[address] -= 1
        self._opened += 1
        return connection

    def _lost(self, address: str, connection: http_connection.HttpConnection) -> None:
        self._open[address] -= 1
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
