"""The command line's client of the platform's service, one call after the other."""

from __future__ import annotations

import typing

import anyio

from hollyring.configuration import store
from hollyring.node import platform_client, store_calls

CALL_TIMEOUT_SECONDS = platform_client.CALL_TIMEOUT_SECONDS


class StateMachine(typing.Protocol):
    """A machine of `hollyring.configuration` that asks for calls until it is done."""

    @property
    def call(self) -> store.Call | None:
        """The call to make next, None at the end."""

    def on_answer(self, answer: store.Answer) -> None:
        """Take the answer."""


class SyncPlatformClient:
    """The platform's service at `url`, ``"http://IP:PORT"``."""

    __slots__ = ("_url", "_failures")

    def __init__(self, url: str) -> None:
        self._url = url
        self._failures = 0

    @property
    def failures(self) -> int:
        """Calls without a usable answer so far."""
        return self._failures

    def run(self, state_machine: StateMachine, max_failures: int) -> bool:
        """Make a machine's calls; return whether it came to its end.

        It is given up after `max_failures` calls without a usable answer.
        """
        failure_limit = self._failures + max_failures
        while state_machine.call is not None:
            if self._failures >= failure_limit:
                return False
            state_machine.on_answer(self.perform(state_machine.call))
        return True

    def perform(self, call: store.Call) -> store.Answer:
        """Make one call and return its answer."""
        answer = anyio.run(self._perform, call)
        self._failures += isinstance(answer, store.Failed)
        return answer

    async def _perform(self, call: store.Call) -> store.Answer:
        client = platform_client.PlatformClient(self._url)
        try:
            return await store_calls.perform(client, call)
        finally:
            await client.close()
