"""Pool of a VM's HTTP connections to upstreams and the store."""

from __future__ import annotations

import asyncio
import collections
import errno
import typing
from collections.abc import Callable

from hollyring.delivery import answers
from hollyring.limits import byte_budget, head_budget
from hollyring.node import clock, exchanges, http_connection

IdleConnections = dict[str, list[http_connection.HttpConnection]]
"""Idle connections by address, in the order in which they became idle."""

CONNECT_TIMEOUT_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.25
"""Timeout of the connection that probes an upstream; a running host accepts within it."""

LATE_TIMEOUT_SECONDS = 0.05
"""Delay of a timeout from which the event loop was late and may have missed the connect."""

LATE_CONNECT_SECONDS = 0.1
"""Time after which a connection that is not open yet is reported; most take milliseconds."""

OWN_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
"""Errors of a connection that say nothing of the host at its other end."""

MAX_CALL_BYTES = 1_048_576
"""Longest answer to an internal call, unless the call allows for another."""

MAX_CONNECTIONS = 10_000
"""Connections of a process whose descriptors are not known."""

SWEEP_INTERVAL_SECONDS = 0.5
"""Interval at which expired idle connections are closed."""


class ConnectionListener(typing.Protocol):
    """Learns how the connections of a pool fare, by address."""

    def connected(self, address: str) -> None:
        """Process that a new connection was opened."""

    def late(self, address: str) -> None:
        """Process that a new connection is not open yet after `LATE_CONNECT_SECONDS`."""

    def failed(self, address: str) -> None:
        """Process that a connection could not be opened, or was lost otherwise than by a close."""


class _NoListener:
    """Listener of a pool that nobody listens to."""

    __slots__ = ()

    def connected(self, address: str) -> None:
        """Ignore a new connection."""

    def late(self, address: str) -> None:
        """Ignore a late connection."""

    def failed(self, address: str) -> None:
        """Ignore a failed connection."""


class ConnectionPool:
    """Keep-alive connections by address.

    Callers' requests and internal calls never use the same connection: the answer to a call does
    not name it, so a late second answer to a request or call could not be told from the next one.

    Parameters
    ----------
    budget
        Bytes that this VM may hold; by default those of a process with any amount of memory.
    heads
        Memory that heads and unfinished lines may take; by default that of such a process.
    max_connections
        Most connections for callers' requests, to all addresses; calls of the VM's own may have
        more.
    """

    __slots__ = (
        "_budget",
        "_heads",
        "_max_connections",
        "_idle",
        "_idle_for_calls",
        "_open",
        "_opened",
        "_listener",
    )

    def __init__(
        self,
        budget: byte_budget.ByteBudget | None = None,
        heads: head_budget.HeadBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._budget = byte_budget.ByteBudget() if budget is None else budget
        self._heads = head_budget.HeadBudget() if heads is None else heads
        self._max_connections = max_connections
        self._idle: IdleConnections = {}
        self._idle_for_calls: IdleConnections = {}
        self._open: collections.Counter[str] = collections.Counter()
        self._opened = 0
        self._listener: ConnectionListener = _NoListener()

    @property
    def opened(self) -> int:
        """Number of connections opened since the start."""
        return self._opened

    def set_listener(self, listener: ConnectionListener) -> None:
        """Tell a listener how all connections fare from now on."""
        self._listener = listener

    def open_connections(self, address: str) -> int:
        """Return the number of open connections to `address`."""
        return self._open[address]

    async def acquire(
        self,
        address: str,
        max_connections: int,
        min_keep_alive_seconds: float = 0.0,
        request_id: str = "",
    ) -> http_connection.HttpConnection:
        """Return an idle connection to `address` that has carried no call, or a new one.

        Parameters
        ----------
        max_connections
            Maximum number of open connections to this address.
        min_keep_alive_seconds
            Remaining keep-alive time that an idle connection must have, in seconds.
        request_id
            Identity of a request that the connection must not have carried before.

        Raises
        ------
        exchanges.NotSentError
            If no connection is available.
        """
        idle = self._idle.get(address, [])
        connection = _take(idle, min_keep_alive_seconds, request_id)
        if connection is not None:
            return connection
        return await self.acquire_new(address, max_connections)

    async def acquire_new(
        self, address: str, max_connections: int
    ) -> http_connection.HttpConnection:
        """Return a new connection to `address`, of which at most `max_connections` are open.

        Raises
        ------
        exchanges.NotSentError
            If no connection is available.
        """
        if self._open[address] >= max_connections:
            raise exchanges.TooManyConnectionsError("too many connections")
        if self._open.total() >= self._max_connections and not self._close_longest_idle():
            raise exchanges.TooManyConnectionsError("too many connections of this VM")
        return await self._connect(address)

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        kept = [connections for connections in self._idle.values() if connections]
        if not kept:
            return False
        min(kept, key=lambda connections: connections[0].idle_since).pop(0).abort()
        return True

    def has_idle(self, address: str) -> bool:
        """Return whether a connection to `address` is free for a request."""
        now = clock.now()
        return any(idle.idle_seconds_left(now) > 0.0 for idle in self._idle.get(address, ()))

    async def can_connect(self, address: str) -> bool:
        """Return whether an upstream accepts a new connection, which is then kept idle.

        What this VM lacks of its own for a connection shows nothing of the upstream.
        """
        try:
            connection = await self._connect(address, PROBE_TIMEOUT_SECONDS)
        except exchanges.OwnResourcesError:
            return True
        except exchanges.NotSentError:
            return False
        connection.idle_since = clock.now()
        self._idle.setdefault(address, []).append(connection)
        return True

    async def connect(self, address: str) -> http_connection.HttpConnection:
        """Return a new connection rather than an idle one, which the peer may be about to close.

        Raises
        ------
        exchanges.NotSentError
            If no connection is available.
        """
        return await self._connect(address)

    async def call(
        self, address: str, request: bytes, seconds: float, max_bytes: int = MAX_CALL_BYTES
    ) -> exchanges.Response:
        """Send an internal request and return the response, without a limit on connections.

        Raises
        ------
        exchanges.HttpConnectionError
            If no complete response was received within `seconds`; `BodyTooLongError` if it is
            longer than `max_bytes`.
        """
        connection = _take(self._idle_for_calls.get(address, []))
        if connection is None:
            connection = await self._connect(address)
        try:
            return await _exchange(connection, request, seconds, max_bytes)
        finally:
            _put(self._idle_for_calls, address, connection)

    async def call_alone(
        self, address: str, request: bytes, seconds: float, may_send: Callable[[], bool]
    ) -> exchanges.Response:
        """Send an internal request as `call` does, but on a connection that carries nothing else.

        For requests whose answer must not be that to an earlier call; a poll may be repeated.

        Parameters
        ----------
        may_send
            Asked with the connection in hand, as nothing waits between that and the write.

        Raises
        ------
        exchanges.NotSentError
            If there was no connection, or the request may not be sent any more.
        exchanges.HttpConnectionError
            If no complete response was received within `seconds`.
        """
        connection = await self._connect(address)
        try:
            if not may_send():
                raise exchanges.NotSentError("may not be sent any more")
            return await _exchange(connection, request, seconds, MAX_CALL_BYTES)
        finally:
            connection.release()
            connection.abort()

    def release(self, address: str, connection: http_connection.HttpConnection) -> None:
        """Return a connection to the pool after its exchange, or close it if it is not reusable."""
        _put(self._idle, address, connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to one address."""
        for connections in (self._idle, self._idle_for_calls):
            for connection in connections.pop(address, []):
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in [*self._idle, *self._idle_for_calls]:
            self.close_idle(address)

    async def sweep(self) -> None:
        """Close expired idle connections periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.close_expired()

    def close_expired(self) -> None:
        """Close expired idle connections."""
        now = clock.now()
        for idle in [*self._idle.values(), *self._idle_for_calls.values()]:
            for connection in [
                connection for connection in idle if connection.idle_seconds_left(now) <= 0
            ]:
                idle.remove(connection)
                connection.abort()

    async def _connect(
        self, address: str, seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> http_connection.HttpConnection:
        """Return a new connection; a timeout that the event loop noticed late gets a second try."""
        due = clock.now() + seconds
        try:
            return await self._try_connect(address, seconds)
        except TimeoutError as error:
            if clock.now() < due + LATE_TIMEOUT_SECONDS:
                self._listener.failed(address)
                raise exchanges.NotSentError("no connection: TimeoutError") from error
        try:
            return await self._try_connect(address, seconds)
        except TimeoutError as error:
            self._listener.failed(address)
            raise exchanges.NotSentError("no connection: TimeoutError") from error

    async def _try_connect(self, address: str, seconds: float) -> http_connection.HttpConnection:
        host, _, port = address.rpartition(":")
        self._open[address] += 1
        connection = http_connection.HttpConnection(
            lambda lost: self._lost(address, lost), self._budget, self._heads
        )
        loop = asyncio.get_running_loop()
        late = loop.call_later(LATE_CONNECT_SECONDS, self._listener.late, address)
        try:
            async with asyncio.timeout(seconds):
                await loop.create_connection(lambda: connection, host, int(port))
        except TimeoutError:
            raise
        except (OSError, ValueError, OverflowError) as error:
            if isinstance(error, OSError) and error.errno in OWN_ERRORS:
                raise exchanges.OwnResourcesError(f"no connection: {error}") from error
            self._listener.failed(address)
            raise exchanges.NotSentError(f"no connection: {type(error).__name__}") from error
        finally:
            late.cancel()
            if not connection.was_connected:
                self._open[address] -= 1
        self._opened += 1
        self._listener.connected(address)
        return connection

    def _lost(self, address: str, connection: http_connection.HttpConnection) -> None:
        self._open[address] -= 1
        if connection.was_broken:
            self._listener.failed(address)
        for connections in (self._idle, self._idle_for_calls):
            idle = connections.get(address)
            if idle and connection in idle:
                idle.remove(connection)


def _take(
    idle: list[http_connection.HttpConnection],
    min_keep_alive_seconds: float = 0.0,
    request_id: str = "",
) -> http_connection.HttpConnection | None:
    """Take the suitable connection that was used last, and close unusable ones after it."""
    now = clock.now()
    for index in reversed(range(len(idle))):
        if idle[index].has_carried(request_id):
            continue
        connection = idle.pop(index)
        lasts = connection.idle_seconds_left(now) > min_keep_alive_seconds
        if lasts and connection.reusable and not connection.has_unread_data:
            return connection
        connection.abort()
    return None


async def _exchange(
    connection: http_connection.HttpConnection, request: bytes, seconds: float, max_bytes: int
) -> exchanges.Response:
    """Send an internal request and return the response.

    Raises
    ------
    exchanges.HttpConnectionError
        If no complete response was received within `seconds`, or it may be that to another call.
    """
    try:
        async with asyncio.timeout(seconds):
            exchange = connection.send(
                request,
                exchanges.accept_any,
                silence=http_connection.Silence.END,
                kind=byte_budget.Kind.CALL,
                max_bytes=max_bytes,
            )
            head = await exchange.head()
            body = await exchange.body()
    except TimeoutError as error:
        raise exchanges.HttpConnectionError("no answer in time") from error
    match answers.judge_call_end(exchange.alone, exchange.followed):
        case answers.Failed(reason=reason):
            raise exchanges.UnusableResponseError(reason)
    states_end = answers.judge_body_end(exchange.framing).is_proved
    return exchanges.Response(head.status, head.headers, body, states_end)


def _put(
    connections: IdleConnections, address: str, connection: http_connection.HttpConnection
) -> None:
    """End a connection's exchange and make it idle, or close it if it is not reusable."""
    if connection.release():
        connections.setdefault(address, []).append(connection)
