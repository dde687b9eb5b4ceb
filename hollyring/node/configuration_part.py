"""The part that owns what is in force: follows the platform's service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from hollyring.configuration import documents, state
from hollyring.delivery import refusal
from hollyring.node import errors, logs, platform

RETRY_SECONDS = 0.5

Listener = Callable[[state.Configuration], None]


class ConfigurationPart:
    """Keeps the configuration in force on this VM."""

    def __init__(self, client: platform.Platform, listeners: list[Listener]) -> None:
        self._client = client
        self._listeners = listeners
        self._log = logs.Log("config")
        self.current = state.Configuration()

    def refusal(self) -> refusal.Refusal | None:
        """Return why this VM admits nothing, None while it does."""
        return None if self.current.revision else refusal.make("configuration_stale")

    async def run(self) -> None:
        """Follow the revisions until cancelled."""
        while True:
            key = f"config/revision/{self.current.revision + 1}"
            try:
                entry = await self._client.watch(key, 0)
            except errors.PlatformError:
                await anyio.sleep(RETRY_SECONDS)
                continue
            if entry is not None and entry.version:
                self._apply(entry.value)

    def dump(self) -> dict[str, Any]:
        """Return the state."""
        return {"revision": self.current.revision}

    def _apply(self, value: bytes) -> None:
        document = documents.decode(value)
        self.current = state.Configuration().changed(
            self.current.revision + 1, "", document.objects, []
        )
        self._log.say("revision in force", revision=self.current.revision)
        for listener in self._listeners:
            listener(self.current)
