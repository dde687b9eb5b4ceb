"""The connections of a VM to upstreams and the store, a few kept for each address."""

from __future__ import annotations

import asyncio
import collections

from hollyring.node import clock, http_link

CONNECT_SECONDS = 0.5
REACH_SECONDS = 0.25
"""An upstream whose machine is up takes a connection within this time."""

SWEEP_SECONDS = 0.5
"""Time between two looks at idle connections."""


class Links:
    """The connections to all upstreams, a few kept for each."""

    __slots__ = ("_idle", "_open", "_opened")

    def __init__(self) -> None:
        self._idle: dict[str, list[http_link.Link]] = {}
        self._open: collections.Counter[str] = collections.Counter()
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened since the start."""
        return self._opened

    def count(self, address: str) -> int:
        """Return the connections that are open to `address`."""
        return self._open[address]

    async def take(self, address: str, most: int, fresh_seconds: float = 0.0) -> http_link.Link:
        """Return an idle connection to `address`, or a new one.

        Parameters
        ----------
        most
            Connections that may be open to this address.
        fresh_seconds
            Time for which the upstream must still keep an idle connection open.

        Raises
        ------
        http_link.NotSentError
            If none can be had.
        """
        now = clock.now()
        idle = self._idle.get(address, [])
        while idle:
            link = idle.pop()
            if link.reusable and link.idle_left(now) > fresh_seconds:
                return link
            link.abort()
        if self._open[address] >= most:
            raise http_link.TooManyError("too many connections")
        return await self._connect(address)

    async def reaches(self, address: str) -> bool:
        """Tell whether an upstream takes a new connection, which is kept."""
        try:
            link = await self._connect(address, REACH_SECONDS)
        except http_link.NotSentError:
            return False
        link.idle_since = clock.now()
        self._idle.setdefault(address, []).append(link)
        return True

    async def fresh(self, address: str) -> http_link.Link:
        """Return a new connection: an idle one may be closed before a request gets through.

        Raises
        ------
        http_link.NotSentError
            If none can be had.
        """
        return await self._connect(address)

    async def call(self, address: str, request: bytes, seconds: float) -> http_link.Answer:
        """Return the answer to a call that no caller waits for, beside the bound.

        Raises
        ------
        http_link.LinkError
            If no whole answer came within `seconds`.
        """
        link = await self.take(address, most=self._open[address] + 1)
        try:
            async with asyncio.timeout(seconds):
                exchange = link.send(request, http_link.any_answer)
                head = await exchange.head()
                return http_link.Answer(head.status, head.headers, await exchange.body())
        except TimeoutError as error:
            raise http_link.LinkError("no answer in time") from error
        finally:
            self.give_back(address, link)

    def give_back(self, address: str, link: http_link.Link) -> None:
        """Keep a connection whose exchange is over, or close it."""
        if link.release():
            self._idle.setdefault(address, []).append(link)

    def drop(self, address: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        for link in self._idle.pop(address, []):
            link.abort()

    def close(self) -> None:
        """Close the idle connections."""
        for address in list(self._idle):
            self.drop(address)

    async def sweep(self) -> None:
        """Close connections that have been idle for too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.reap()

    def reap(self) -> None:
        """Close connections that have been idle for too long."""
        now = clock.now()
        for idle in self._idle.values():
            for link in [link for link in idle if link.idle_left(now) <= 0]:
                idle.remove(link)
                link.abort()

    async def _connect(self, address: str, seconds: float = CONNECT_SECONDS) -> http_link.Link:
        host, _, port = address.rpartition(":")
        self._open[address] += 1
        made = http_link.Link(lambda link: self._lost(address, link))
        try:
            async with asyncio.timeout(seconds):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: made, host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            raise http_link.NotSentError(f"no connection: {type(error).__name__}") from error
        finally:
            if not made.opened:
                self._open[address] -= 1
        self._opened += 1
        return made

    def _lost(self, address: str, link: http_link.Link) -> None:
        self._open[address] -= 1
        idle = self._idle.get(address)
        if idle and link in idle:
            idle.remove(link)
