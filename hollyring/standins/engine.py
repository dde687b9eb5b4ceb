"""Stand-in of a language server: completions, load report, cache events, KV transfer."""

from __future__ import annotations

import collections
import dataclasses
import random
import time
from typing import Any

import anyio
import httpcore
import msgspec

from hollyring.core import prompt_blocks
from hollyring.standins import asgi, batching, errors, generated_text, model_store, prefix_cache

MAX_TOKENS = 16
KEPT_HEADERS = 1000
EVENT_STREAM: asgi.Headers = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]
POLL_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Settings:
    """How an engine behaves; every duration in seconds, shortened by ``pace.speed``."""

    name: str = "engine"
    models: dict[str, str] = dataclasses.field(default_factory=lambda: {"parish": "v1"})
    role: str = "both"
    batch: batching.BatchSettings = dataclasses.field(default_factory=batching.BatchSettings)
    cache_blocks: int = 2000
    cache_idle_seconds: float = 30.0
    event_lag_seconds: float = 0.2
    load_lag_seconds: float = 0.5
    checks_fencing: bool = True
    weights_seconds: float = 2.0
    weight_store: str = ""


class Engine(asgi.StandIn):
    """A language server.

    Faults: ``slow`` (value: every step takes so many times as long), ``event_loss`` (cache
    events are lost, each with probability ``value``, 0 for surely), ``cut`` (a stream's
    connection is cut after ``value`` tokens), ``refuse`` (503 to new requests), ``stall`` (no
    answer for ``value`` seconds), ``leaving`` (reported in the load), ``restart`` (at once:
    streams cut, cache empty, new incarnation), ``lost_order_answer`` (an order takes effect,
    its connection is cut). The control port also answers ``GET /seen`` (headers of late
    requests), ``GET /orders`` and ``GET /state``.
    """

    fault_kinds = frozenset(
        {"slow", "event_loss", "cut", "refuse", "stall", "leaving", "restart", "lost_order_answer"}
    )

    def __init__(self, settings: Settings | None = None) -> None:
        super().__init__()
        self.settings = settings or Settings()
        self._speed = self.settings.batch.speed
        self._seen: collections.deque[list[str]] = collections.deque(maxlen=KEPT_HEADERS)
        self._jobs: dict[str, batching.Job] = {}
        self._pool = httpcore.AsyncConnectionPool()
        self._random = random.Random(self.settings.name)
        self._boot()

    @property
    def incarnation(self) -> int:
        """Number of this life; grows with each restart."""
        return self._incarnation

    def set_fault(self, fault: asgi.Fault) -> None:
        """Switch `fault` on; ``restart`` strikes at once."""
        if fault.kind == "restart":
            self.counters["fault_restart"] += 1
            self._batch.cancel_all()
            self._boot()
            return
        super().set_fault(fault)

    def _boot(self) -> None:
        settings = self.settings
        self._incarnation = max(time.time_ns() // 1000, getattr(self, "_incarnation", 0) + 1)
        self._cache = prefix_cache.PrefixCache(
            settings.cache_blocks, settings.cache_idle_seconds / self._speed, self._loses_event
        )
        self._batch = batching.Batch(settings.batch, self._cache, self.slowdown)
        self._store = model_store.ModelStore(
            settings.models, settings.role, settings.checks_fencing, self._load_weights
        )
        self._report = self._fresh_report()
        self._rebooted = getattr(self, "_rebooted", anyio.Event())
        self._rebooted.set()
        self._rebooted = anyio.Event()

    async def run(self) -> None:
        """Advance the batch, the load report and the loading of weights."""
        while True:
            async with anyio.create_task_group() as group:
                group.start_soon(self._batch.run)
                group.start_soon(self._store.run)
                group.start_soon(self._refresh_report)
                await self._rebooted.wait()
                group.cancel_scope.cancel()

    async def handle(self, request: asgi.Request) -> None:
        """Answer a call of the engine's protocol."""
        self.counters[request.path.split("/")[-1 if request.method == "POST" else 1]] += 1
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                await self._complete(request, chat=True)
            case "POST", "/v1/completions":
                await self._complete(request, chat=False)
            case "DELETE", path if path.startswith("/v1/requests/"):
                self._cancel(path.rsplit("/", 1)[-1])
                await request.answer_json(200, {})
            case "GET", "/load":
                await request.answer_json(200, self._current_report())
            case "GET", "/events":
                await self._events(request)
            case "GET", "/cache":
                await request.answer_json(200, self._snapshot())
            case "POST", "/kv/export" | "/kv/import":
                await self._transfer(request)
            case "POST", "/orders":
                self._store.order(request.json())
                if self.fault("lost_order_answer"):
                    raise errors.ConnectionAbortError
                await request.answer_json(202, {})
            case _:
                raise errors.StandinError(404, "not_found", request.path)

    async def handle_control(self, request: asgi.Request) -> None:
        """Answer the control paths."""
        match request.method, request.path:
            case "GET", "/seen":
                await request.answer_json(200, list(self._seen))
            case "GET", "/orders":
                await request.answer_json(200, self._store.orders)
            case "GET", "/state":
                await request.answer_json(200, self._fresh_report())
            case _:
                await super().handle_control(request)

    def _loses_event(self) -> bool:
        fault = self.fault("event_loss")
        if fault is None:
            return False
        return not fault.value or self._random.random() < fault.value

    def slowdown(self) -> float:
        """Return how many times as long a step takes now."""
        fault = self.fault("slow")
        return fault.value if fault else 1.0

    def _fresh_report(self) -> dict[str, Any]:
        leaving = "leaving" in self._faults
        return {
            "incarnation": self._incarnation,
            "models": dict(self._store.models),
            "adapters": sorted(self._store.adapters),
            "role": self._store.role,
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "queued_tokens": self._batch.queued_tokens,
            "prefill_tokens_per_second": self.settings.batch.prefill_tokens_per_second
            * self._speed,
            "leaving": leaving,
            "at": time.time(),
        }

    def _current_report(self) -> dict[str, Any]:
        return self._report if self.settings.load_lag_seconds else self._fresh_report()

    async def _refresh_report(self) -> None:
        while True:
            self._report = self._fresh_report()
            await anyio.sleep(max(0.01, self.settings.load_lag_seconds / self._speed))

    async def _load_weights(self, model: str, version: str) -> None:
        if not self.settings.weight_store:
            await anyio.sleep(self.settings.weights_seconds / self._speed)
            return
        url = f"{self.settings.weight_store}/weights/{model}/{version}"
        await self._pool.request("GET", url)

    async def _events(self, request: asgi.Request) -> None:
        after = int(request.query.get("after", 0))
        until = time.monotonic() + float(request.query.get("wait", 0))
        lag = self.settings.event_lag_seconds / self._speed
        found = self._cache.events(after, time.monotonic() - lag)
        while not found and time.monotonic() < until:
            await anyio.sleep(POLL_SECONDS)
            found = self._cache.events(after, time.monotonic() - lag)
        listed = [{"seq": e.seq, "kind": e.kind, "blocks": e.blocks} for e in found]
        answer = {
            "incarnation": self._incarnation,
            "first": self._cache.first(),
            "last": found[-1].seq if found else after,
            "events": listed,
        }
        await request.answer_json(200, answer)

    def _snapshot(self) -> dict[str, Any]:
        blocks = self._cache.names
        return {"incarnation": self._incarnation, "seq": self._cache.seq, "blocks": blocks}

    async def _transfer(self, request: asgi.Request) -> None:
        body = request.json()
        store, count = str(body["store"]), 0
        for block in body["blocks"]:
            if request.path == "/kv/export":
                if self._cache.has(int(block, 16)):
                    await self._pool.request("PUT", f"{store}/blocks/{block}", content=b"kv")
                    count += 1
                continue
            answer = await self._pool.request("GET", f"{store}/blocks/{block}")
            if answer.status != 200:
                break
            self._cache.store([int(block, 16)], time.monotonic())
            count += 1
        await request.answer_json(200, {"blocks": count})

    def _cancel(self, request_id: str) -> None:
        job = self._jobs.get(request_id)
        if job is not None:
            self.counters["cancelled"] += 1
            self._batch.cancel(job)

    async def _complete(self, request: asgi.Request, chat: bool) -> None:
        self._seen.append([f"{k.decode()}: {v.decode('latin-1')}" for k, v in request.headers])
        if self.fault("refuse"):
            raise errors.StandinError(503, "overloaded")
        if stall := self.fault("stall"):
            await anyio.sleep(stall.value / self._speed)
        if "leaving" in self._faults:
            self.counters["accepted_while_leaving"] += 1
        body = request.json()
        job = self._job(body, chat, request)
        self._jobs[job.request_id] = job
        self.counters["started"] += 1
        self._batch.submit(job)
        stream = Stream(request, job, body, chat, self.fault("cut"))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_disconnect, request, job)
                whole = await (stream.send_events() if body.get("stream") else stream.send_whole())
                group.cancel_scope.cancel()
        finally:
            self._batch.cancel(job)
            self._jobs.pop(job.request_id, None)
        if not whole:
            self.counters["cut"] += 1
            return
        self.counters["finished"] += 1

    def _job(self, body: dict[str, Any], chat: bool, request: asgi.Request) -> batching.Job:
        model = str(body.get("model", ""))
        if model not in self._store.models:
            raise errors.StandinError(404, "model_not_loaded", f"model {model!r} is not loaded")
        prompt = prompt_blocks.render(body["messages"]) if chat else str(body["prompt"]).encode()
        request_id = str(body.get("request_id") or request.header(b"x-request-id"))
        count = int(body.get("max_completion_tokens") or body.get("max_tokens") or MAX_TOKENS)
        stop = int(body.get("stop_after") or count + 1)
        done = generated_text.count_tokens(str(body.get("resume_text", "")))
        return batching.Job(
            request_id=request_id or f"{self.settings.name}-{self.counters['started']}",
            model=model,
            prompt=prompt,
            salt=int(body.get("cache_salt", 0)),
            priority=int(body.get("priority", 0)),
            next_index=done,
            last_index=done + min(count, stop),
            finish_reason="stop" if stop <= count else "length",
        )

    async def _watch_disconnect(self, request: asgi.Request, job: batching.Job) -> None:
        await request.disconnected()
        if not job.done:
            self.counters["disconnected"] += 1
        self._batch.cancel(job)


class Stream:
    """Writes one job's answer."""

    def __init__(
        self,
        request: asgi.Request,
        job: batching.Job,
        body: dict[str, Any],
        chat: bool,
        cut: asgi.Fault | None,
    ) -> None:
        self._request = request
        self._job = job
        self._chat = chat
        self._cut_after = int(cut.value) if cut else -1
        self._usage_wanted = bool((body.get("stream_options") or {}).get("include_usage"))
        self._sent = 0
        head = self._head("chat.completion.chunk" if chat else "text_completion")
        self._before = b"data: " + head + b',"choices":[{"index":0,'
        self._before += b'"delta":{"content":"' if chat else b'"text":"'
        closing = b'"}' if chat else b'"'
        self._after = closing + b',"finish_reason":null}]}\n\n'
        self._last = closing + b',"finish_reason":"%s"}]}\n\n' % job.finish_reason.encode()

    async def send_events(self) -> bool:
        """Send the answer as server-sent events; tell whether it was sent whole."""
        await self._request.start(200, EVENT_STREAM)
        while True:
            tokens = await self._job.take()
            if self._job.cancelled:
                return False
            final = self._job.done and not self._job.tokens
            if 0 <= self._cut_after <= self._sent + len(tokens):
                await self._request.write(self._events(tokens[: self._cut_after - self._sent]))
                return False
            self._sent += len(tokens)
            events = self._events(tokens)
            if final:
                events = events[: -len(self._after)] + self._last + self._ending()
            await self._request.write(events, more=not final)
            if final:
                return True

    async def send_whole(self) -> bool:
        """Send the answer in one piece; tell whether it was sent."""
        tokens: list[str] = []
        while not self._job.done or self._job.tokens:
            tokens += await self._job.take()
        if self._job.cancelled or 0 <= self._cut_after <= len(tokens):
            return False
        self._sent = len(tokens)
        content = "".join(tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._job.finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = content
        head = self._head("chat.completion" if self._chat else "text_completion")
        usage = msgspec.json.encode(self._usage())
        tail = b',"choices":[' + msgspec.json.encode(choice) + b'],"usage":' + usage + b"}"
        await self._request.answer(200, head + tail, asgi.JSON)
        return True

    def _head(self, kind: str) -> bytes:
        head = {"id": self._job.request_id, "object": kind, "created": int(time.time())}
        return msgspec.json.encode({**head, "model": self._job.model})[:-1]

    def _events(self, tokens: list[str]) -> bytes:
        return b"".join([self._before + token.encode() + self._after for token in tokens])

    def _usage(self) -> dict[str, Any]:
        prompt = prompt_blocks.token_count(self._job.prompt)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self._sent,
            "total_tokens": prompt + self._sent,
            "prompt_tokens_details": {"cached_tokens": self._job.cached},
        }

    def _ending(self) -> bytes:
        if not self._usage_wanted:
            return b"data: [DONE]\n\n"
        head = self._head("chat.completion.chunk" if self._chat else "text_completion")
        usage = msgspec.json.encode(self._usage())
        return b"data: " + head + b',"choices":[],"usage":' + usage + b"}\n\ndata: [DONE]\n\n"
