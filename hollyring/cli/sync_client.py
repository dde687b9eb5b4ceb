"""Synchronous client of the platform's key-value service, for the command line."""

from __future__ import annotations

import typing

import anyio

from hollyring.configuration import store
from hollyring.node import platform_client, store_calls

CALL_TIMEOUT_SECONDS = platform_client.CALL_TIMEOUT_SECONDS


class StateMachine(typing.Protocol):
    """State machine of `hollyring.configuration` that requests store calls until it is finished."""

    @property
    def call(self) -> store.Call | None:
        """Next call to make, None when finished."""

    def on_answer(self, answer: store.Answer) -> None:
        """Process the answer to the call."""


class SyncPlatformClient:
    """Client of the platform's service at `url`, ``"http://IP:PORT"``."""

    __slots__ = ("_url", "_failures")

    def __init__(self, url: str) -> None:
        self._url = url
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of failed calls."""
        return self._failures

    def run(self, state_machine: StateMachine, max_failures: int) -> bool:
        """Make the calls of `state_machine` and return whether it finished.

        It is abandoned after `max_failures` failed calls.
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
