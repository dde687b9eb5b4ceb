"""Simulation of continuous batching for the inference server stand-in."""

from __future__ import annotations

import dataclasses
import heapq
import time
from collections.abc import Callable

import anyio

from hollyring.core import prompt_blocks
from hollyring.standins import generated_text, prefix_cache

MAX_LAG_SECONDS = 0.5
"""Longest delay behind the simulated schedule that later steps make up for."""

MIN_SLEEP_SECONDS = 0.002
"""Time until the next step up to which the batch does not sleep."""


@dataclasses.dataclass(slots=True)
class BatchSettings:
    """Simulated throughput and batch limits of an engine.

    `speed` divides all durations.
    """

    prefill_tokens_per_second: float = 8000.0
    decode_step_seconds: float = 0.02
    max_running: int = 32
    prefill_chunk_tokens: int = 2048
    speed: float = 1.0


@dataclasses.dataclass(slots=True)
class Job:
    """A request in the engine.

    Parameters
    ----------
    next_index, end_index
        Index of the next token to generate, and the index at which generation ends (exclusive).
    cached_tokens
        Prompt tokens found in the prefix cache on admission.
    prefill_remaining
        Tokens that prefill still has to compute; -1 until the job is admitted to the batch.
    tokens
        Generated tokens that `next_tokens` has not returned yet.
    """

    request_id: str
    model: str
    prompt: bytes
    salt: int
    priority: int
    next_index: int
    end_index: int
    finish_reason: str = "length"
    seed: int = 0
    block_hashes: list[int] = dataclasses.field(default_factory=list)
    cached_tokens: int = 0
    prefill_remaining: int = -1
    done: bool = False
    cancelled: bool = False
    tokens: list[str] = dataclasses.field(default_factory=list)
    updated: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def notify(self) -> None:
        """Wake the task that waits in `next_tokens`."""
        self.updated.set()

    async def next_tokens(self) -> list[str]:
        """Wait for tokens and return all available; the list is empty if the job was cancelled."""
        while not self.tokens and not self.done:
            self.updated = anyio.Event()
            await self.updated.wait()
        tokens, self.tokens = self.tokens, []
        return tokens


class Batch:
    """Queued and running jobs of an engine, advanced one decode step at a time.

    Parameters
    ----------
    settings
        Throughput and batch limits.
    cache
        Prefix cache in which blocks of prompts are looked up and stored.
    slowdown
        Returns the factor by which the duration of the current step is multiplied.
    """

    def __init__(
        self,
        settings: BatchSettings,
        cache: prefix_cache.PrefixCache,
        slowdown: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._settings = settings
        self._cache = cache
        self._waiting: list[tuple[int, int, Job]] = []
        self._running: list[Job] = []
        self._submitted = 0
        self._work_available = anyio.Event()
        self._slowdown = slowdown

    @property
    def running(self) -> int:
        """Number of jobs in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of jobs queued for admission to the batch."""
        return len(self._waiting)

    @property
    def queued_tokens(self) -> int:
        """Number of tokens still to be prefilled, of queued and running jobs."""
        queued = sum(prompt_blocks.token_count(job.prompt) for _, _, job in self._waiting)
        return queued + sum(max(0, job.prefill_remaining) for job in self._running)

    def submit(self, job: Job) -> None:
        """Queue `job` by its priority; smaller values are admitted first."""
        self._submitted += 1
        job.seed = generated_text.prompt_seed(job.prompt)
        job.block_hashes = prompt_blocks.block_hashes(job.salt, job.prompt)
        heapq.heappush(self._waiting, (job.priority, self._submitted, job))
        self._work_available.set()

    def cancel(self, job: Job) -> None:
        """Cancel `job` if it is queued or running."""
        if job.done:
            return
        job.done = job.cancelled = True
        job.notify()
        self._running = [other for other in self._running if other is not job]
        self._waiting = [entry for entry in self._waiting if entry[2] is not job]
        heapq.heapify(self._waiting)

    def cancel_all(self) -> None:
        """Cancel all queued and running jobs."""
        for job in [*self._running, *(entry[2] for entry in self._waiting)]:
            self.cancel(job)

    async def run(self) -> None:
        """Advance the batch until cancelled."""
        next_step_at = time.monotonic()
        while True:
            if not self._running and not self._waiting:
                self._work_available = anyio.Event()
                await self._work_available.wait()
                next_step_at = time.monotonic()
            now = time.monotonic()
            self._cache.evict_idle(now)
            next_step_at = max(next_step_at, now - MAX_LAG_SECONDS) + self.step(now)
            delay = next_step_at - time.monotonic()
            await anyio.sleep(delay if delay > MIN_SLEEP_SECONDS else 0)

    def step(self, now: float) -> float:
        """Prefill a chunk, decode one token per prefilled job and return the step's duration.

        Parameters
        ----------
        now
            Time on the monotonic clock, in seconds.

        Returns
        -------
        float
            Simulated duration of the step in seconds.
        """
        self._admit(now)
        prefilled = self._prefill(now)
        finished = False
        for job in self._running:
            if job.prefill_remaining:
                continue
            job.tokens.append(generated_text.generate_token(job.seed, job.next_index))
            job.next_index += 1
            if job.next_index >= job.end_index:
                job.done = finished = True
            job.notify()
        if finished:
            self._running = [job for job in self._running if not job.done]
        seconds = (
            self._settings.decode_step_seconds
            + prefilled / self._settings.prefill_tokens_per_second
        )
        return seconds * self._slowdown() / self._settings.speed

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self._settings.max_running:
            job = heapq.heappop(self._waiting)[2]
            job.cached_tokens = prefix_cache.cached_tokens(
                self._cache.match_prefix(job.block_hashes, now)
            )
            total = prompt_blocks.token_count(job.prompt) + job.next_index
            job.prefill_remaining = max(0, total - job.cached_tokens)
            self._running.append(job)

    def _prefill(self, now: float) -> int:
        budget = self._settings.prefill_chunk_tokens
        for job in self._running:
            if not job.prefill_remaining or not budget:
                continue
            chunk = min(budget, job.prefill_remaining)
            budget -= chunk
            job.prefill_remaining -= chunk
            if not job.prefill_remaining:
                self._cache.store(job.block_hashes, now)
        return self._settings.prefill_chunk_tokens - budget
