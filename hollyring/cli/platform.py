"""The command line's client of the platform's service, one call after the other."""

from __future__ import annotations

import time
import typing

import httpcore

from hollyring.configuration import store
from hollyring.node import failures

CALL_SECONDS = 2.0
"""Longest wait for an answer."""

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class Machine(typing.Protocol):
    """A machine of `hollyring.configuration` that asks for calls until it is done."""

    @property
    def call(self) -> store.Call | None:
        """The call to make next, None at the end."""

    def on_answer(self, answer: store.Answer) -> None:
        """Take the answer."""


class Platform:
    """The platform's service at `url`, ``"http://IP:PORT"``."""

    __slots__ = ("_url", "_pool", "_failures")

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = httpcore.ConnectionPool()
        self._failures = 0

    @property
    def failures(self) -> int:
        """Calls without a usable answer so far."""
        return self._failures

    def run(self, machine: Machine, max_failures: int) -> bool:
        """Make a machine's calls; return whether it came to its end.

        It is given up after `max_failures` calls without a usable answer.
        """
        until = self._failures + max_failures
        while machine.call is not None:
            if self._failures >= until:
                return False
            machine.on_answer(self.perform(machine.call))
        return True

    def perform(self, call: store.Call) -> store.Answer:
        """Make one call and return its answer."""
        match call:
            case store.Read(key):
                return self._read(key)
            case store.Watch(key, seconds):
                return self._read(key, f"?watch=0&wait={seconds:g}", seconds)
            case store.Write(key, value, version):
                return self._write("PUT", f"{key}?version={version}", value)
            case store.Delete(key):
                found = self._read(key)
                if not isinstance(found, store.Found):
                    return found
                return self._write("DELETE", f"{key}?version={found.version}")
            case store.Pause(seconds):
                time.sleep(seconds)
                return store.Waited()

    def _read(self, key: str, query: str = "", seconds: float = 0.0) -> store.Answer:
        response = self._request("GET", key + query, None, seconds)
        if response is None:
            return store.Failed()
        if response.status == HTTP_OK:
            return store.Found(response.content, _version(response))
        return store.Absent()

    def _write(self, method: str, path: str, value: bytes | None = None) -> store.Answer:
        response = self._request(method, path, value)
        if response is None:
            return store.Failed()
        return store.Written() if response.status == HTTP_OK else store.Conflict()

    def _request(
        self, method: str, path: str, content: bytes | None, seconds: float = 0.0
    ) -> httpcore.Response | None:
        limit = CALL_SECONDS + seconds
        timeouts = {"connect": CALL_SECONDS, "read": limit, "write": limit, "pool": limit}
        try:
            response = self._pool.request(
                method,
                f"{self._url}/kv/{path}",
                content=content,
                extensions={"timeout": timeouts},
            )
        except failures.FAILURES:
            response = None
        allowed = (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT, 304)
        if response is not None and response.status in allowed:
            return response
        self._failures += 1
        return None


def _version(response: httpcore.Response) -> int:
    headers = {name.lower(): value for name, value in response.headers}
    return int(headers.get(b"x-version", b"0"))
