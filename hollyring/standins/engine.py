"""Stand-in for an inference server: completions, load report, cache events, KV transfer."""

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
from hollyring.standins import asgi, batching, errors, generated_text, model_registry, prefix_cache

DEFAULT_MAX_TOKENS = 16
MAX_SEEN_REQUESTS = 1000
EVENT_STREAM_HEADERS: asgi.Headers = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]
EVENT_POLL_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Settings:
    """Settings of an engine; durations are in seconds and are divided by ``batch.speed``."""

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
    """An inference server.

    Faults: ``slow`` (value: factor on the duration of each step), ``event_loss`` (cache events are
    dropped; value: probability, with 0 for all of them), ``cut`` (the connection of a stream is
    closed after ``value`` tokens), ``refuse`` (503 to new requests), ``stall`` (value: seconds
    before a request is processed), ``leaving`` (reported in the load report), ``restart``
    (immediate: cuts all streams, empties the cache and starts a new incarnation),
    ``lost_order_answer`` (the connection is aborted after an order has taken effect). The control
    port also serves ``GET /seen`` (headers of recent requests), ``GET /orders`` and
    ``GET /state``.
    """

    fault_kinds = frozenset(
        {"slow", "event_loss", "cut", "refuse", "stall", "leaving", "restart", "lost_order_answer"}
    )

    def __init__(self, settings: Settings | None = None) -> None:
        super().__init__()
        self.settings = settings or Settings()
        self._speed = self.settings.batch.speed
        self._seen_headers: collections.deque[list[str]] = collections.deque(
            maxlen=MAX_SEEN_REQUESTS
        )
        self._jobs: dict[str, batching.Job] = {}
        self._pool = httpcore.AsyncConnectionPool()
        self._rng = random.Random(self.settings.name)
        self._reset()

    @property
    def incarnation(self) -> int:
        """Incarnation number, which increases with each restart."""
        return self._incarnation

    def inject_fault(self, fault: asgi.Fault) -> None:
        """Activate `fault`; ``restart`` takes effect once, immediately."""
        if fault.kind == "restart":
            self.counters["fault_restart"] += 1
            self._batch.cancel_all()
            self._reset()
            return
        super().inject_fault(fault)

    def _reset(self) -> None:
        settings = self.settings
        self._incarnation = max(time.time_ns() // 1000, getattr(self, "_incarnation", 0) + 1)
        self._cache = prefix_cache.PrefixCache(
            settings.cache_blocks, settings.cache_idle_seconds / self._speed, self._drops_event
        )
        self._batch = batching.Batch(settings.batch, self._cache, self.slowdown)
        self._registry = model_registry.ModelRegistry(
            settings.models, settings.role, settings.checks_fencing, self._load_weights
        )
        self._last_load_report = self._build_load_report()
        self._reset_event = getattr(self, "_reset_event", anyio.Event())
        self._reset_event.set()
        self._reset_event = anyio.Event()

    async def run(self) -> None:
        """Run the batch, the load report and the orders; start them anew after each restart."""
        while True:
            async with anyio.create_task_group() as group:
                group.start_soon(self._batch.run)
                group.start_soon(self._registry.run)
                group.start_soon(self._refresh_load_report)
                await self._reset_event.wait()
                group.cancel_scope.cancel()

    async def handle(self, request: asgi.Request) -> None:
        """Serve a request of the engine's protocol."""
        self.counters[request.path.split("/")[-1 if request.method == "POST" else 1]] += 1
        match request.method, request.path:
            case "POST", "/v1/chat/completions":
                await self._serve_completion(request, chat=True)
            case "POST", "/v1/completions":
                await self._serve_completion(request, chat=False)
            case "DELETE", path if path.startswith("/v1/requests/"):
                self._cancel_request(path.rsplit("/", 1)[-1])
                await request.respond_json(200, {})
            case "GET", "/load":
                await request.respond_json(200, self._load_report())
            case "GET", "/events":
                await self._send_cache_events(request)
            case "GET", "/cache":
                await request.respond_json(200, self._cache_snapshot())
            case "POST", "/kv/export" | "/kv/import":
                await self._transfer_blocks(request)
            case "POST", "/orders":
                self._registry.accept_order(request.json())
                if self.active_fault("lost_order_answer"):
                    raise errors.ConnectionAbortError
                await request.respond_json(202, {})
            case _:
                raise errors.StandInError(404, "not_found", request.path)

    async def handle_control(self, request: asgi.Request) -> None:
        """Serve the control paths."""
        match request.method, request.path:
            case "GET", "/seen":
                await request.respond_json(200, list(self._seen_headers))
            case "GET", "/orders":
                await request.respond_json(200, self._registry.orders)
            case "GET", "/state":
                await request.respond_json(200, self._build_load_report())
            case _:
                await super().handle_control(request)

    def _drops_event(self) -> bool:
        fault = self.active_fault("event_loss")
        if fault is None:
            return False
        return not fault.value or self._rng.random() < fault.value

    def slowdown(self) -> float:
        """Return the factor that currently multiplies the duration of a step."""
        fault = self.active_fault("slow")
        return fault.value if fault else 1.0

    def _build_load_report(self) -> dict[str, Any]:
        leaving = "leaving" in self._faults
        return {
            "incarnation": self._incarnation,
            "models": dict(self._registry.models),
            "adapters": sorted(self._registry.adapters),
            "role": self._registry.role,
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "queued_tokens": self._batch.queued_tokens,
            "prefill_tokens_per_second": self.settings.batch.prefill_tokens_per_second
            * self._speed,
            "leaving": leaving,
            "at": time.time(),
        }

    def _load_report(self) -> dict[str, Any]:
        return (
            self._last_load_report if self.settings.load_lag_seconds else self._build_load_report()
        )

    async def _refresh_load_report(self) -> None:
        while True:
            self._last_load_report = self._build_load_report()
            await anyio.sleep(max(0.01, self.settings.load_lag_seconds / self._speed))

    async def _load_weights(self, model: str, version: str) -> None:
        if not self.settings.weight_store:
            await anyio.sleep(self.settings.weights_seconds / self._speed)
            return
        url = f"{self.settings.weight_store}/weights/{model}/{version}"
        await self._pool.request("GET", url)

    async def _send_cache_events(self, request: asgi.Request) -> None:
        after = int(request.query.get("after", 0))
        deadline = time.monotonic() + float(request.query.get("wait", 0))
        lag = self.settings.event_lag_seconds / self._speed
        found = self._cache.events(after, time.monotonic() - lag)
        while not found and time.monotonic() < deadline:
            await anyio.sleep(EVENT_POLL_SECONDS)
            found = self._cache.events(after, time.monotonic() - lag)
        listed = [{"seq": e.seq, "kind": e.kind, "blocks": e.blocks} for e in found]
        payload = {
            "incarnation": self._incarnation,
            "first": self._cache.first_seq(),
            "last": found[-1].seq if found else after,
            "events": listed,
        }
        await request.respond_json(200, payload)

    def _cache_snapshot(self) -> dict[str, Any]:
        blocks = self._cache.block_hashes
        return {"incarnation": self._incarnation, "seq": self._cache.seq, "blocks": blocks}

    async def _transfer_blocks(self, request: asgi.Request) -> None:
        body = request.json()
        store_url, count = str(body["store"]), 0
        for block in body["blocks"]:
            if request.path == "/kv/export":
                if self._cache.contains(int(block, 16)):
                    await self._pool.request("PUT", f"{store_url}/blocks/{block}", content=b"kv")
                    count += 1
                continue
            response = await self._pool.request("GET", f"{store_url}/blocks/{block}")
            if response.status != 200:
                break
            self._cache.store([int(block, 16)], time.monotonic())
            count += 1
        await request.respond_json(200, {"blocks": count})

    def _cancel_request(self, request_id: str) -> None:
        job = self._jobs.get(request_id)
        if job is not None:
            self.counters["cancelled"] += 1
            self._batch.cancel(job)

    async def _serve_completion(self, request: asgi.Request, chat: bool) -> None:
        self._seen_headers.append(
            [f"{k.decode()}: {v.decode('latin-1')}" for k, v in request.headers]
        )
        if self.active_fault("refuse"):
            raise errors.StandInError(503, "overloaded")
        if stall := self.active_fault("stall"):
            await anyio.sleep(stall.value / self._speed)
        if "leaving" in self._faults:
            self.counters["accepted_while_leaving"] += 1
        body = request.json()
        job = self._create_job(body, chat, request)
        self._jobs[job.request_id] = job
        self.counters["started"] += 1
        self._batch.submit(job)
        writer = ResponseWriter(request, job, body, chat, self.active_fault("cut"))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, request, job)
                complete = await (
                    writer.send_stream() if body.get("stream") else writer.send_whole()
                )
                group.cancel_scope.cancel()
        finally:
            self._batch.cancel(job)
            self._jobs.pop(job.request_id, None)
        if not complete:
            self.counters["cut"] += 1
            return
        self.counters["finished"] += 1

    def _create_job(self, body: dict[str, Any], chat: bool, request: asgi.Request) -> batching.Job:
        model = str(body.get("model", ""))
        if model not in self._registry.models:
            raise errors.StandInError(404, "model_not_loaded", f"model {model!r} is not loaded")
        prompt = prompt_blocks.render(body["messages"]) if chat else str(body["prompt"]).encode()
        request_id = str(body.get("request_id") or request.header(b"x-request-id"))
        max_tokens = int(
            body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_MAX_TOKENS
        )
        stop_after = int(body.get("stop_after") or max_tokens + 1)
        resumed_tokens = generated_text.count_tokens(str(body.get("resume_text", "")))
        return batching.Job(
            request_id=request_id or f"{self.settings.name}-{self.counters['started']}",
            model=model,
            prompt=prompt,
            salt=int(body.get("cache_salt", 0)),
            priority=int(body.get("priority", 0)),
            next_index=resumed_tokens,
            end_index=resumed_tokens + min(max_tokens, stop_after),
            finish_reason="stop" if stop_after <= max_tokens else "length",
        )

    async def _cancel_on_disconnect(self, request: asgi.Request, job: batching.Job) -> None:
        await request.wait_for_disconnect()
        if not job.done:
            self.counters["disconnected"] += 1
        self._batch.cancel(job)


class ResponseWriter:
    """Sends the response of one job, as a stream or with a single body."""

    def __init__(
        self,
        request: asgi.Request,
        job: batching.Job,
        body: dict[str, Any],
        chat: bool,
        abort: asgi.Fault | None,
    ) -> None:
        self._request = request
        self._job = job
        self._chat = chat
        self._abort_after_tokens = int(abort.value) if abort else -1
        self._include_usage = bool((body.get("stream_options") or {}).get("include_usage"))
        self._sent_tokens = 0
        head = self._encode_head("chat.completion.chunk" if chat else "text_completion")
        self._event_prefix = b"data: " + head + b',"choices":[{"index":0,'
        self._event_prefix += b'"delta":{"content":"' if chat else b'"text":"'
        closing = b'"}' if chat else b'"'
        self._event_suffix = closing + b',"finish_reason":null}]}\n\n'
        self._final_suffix = closing + b',"finish_reason":"%s"}]}\n\n' % job.finish_reason.encode()

    async def send_stream(self) -> bool:
        """Send the response as server-sent events and return whether it was sent completely."""
        await self._request.start_response(200, EVENT_STREAM_HEADERS)
        while True:
            tokens = await self._job.next_tokens()
            if self._job.cancelled:
                return False
            is_last = self._job.done and not self._job.tokens
            if 0 <= self._abort_after_tokens <= self._sent_tokens + len(tokens):
                await self._request.write(
                    self._encode_events(tokens[: self._abort_after_tokens - self._sent_tokens])
                )
                return False
            self._sent_tokens += len(tokens)
            events = self._encode_events(tokens)
            if is_last:
                events = (
                    events[: -len(self._event_suffix)] + self._final_suffix + self._stream_end()
                )
            await self._request.write(events, more=not is_last)
            if is_last:
                return True

    async def send_whole(self) -> bool:
        """Send the response with a single body and return whether it was sent."""
        tokens: list[str] = []
        while not self._job.done or self._job.tokens:
            tokens += await self._job.next_tokens()
        if self._job.cancelled or 0 <= self._abort_after_tokens <= len(tokens):
            return False
        self._sent_tokens = len(tokens)
        content = "".join(tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._job.finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = content
        head = self._encode_head("chat.completion" if self._chat else "text_completion")
        usage = msgspec.json.encode(self._usage())
        tail = b',"choices":[' + msgspec.json.encode(choice) + b'],"usage":' + usage + b"}"
        await self._request.respond(200, head + tail, asgi.JSON_HEADERS)
        return True

    def _encode_head(self, kind: str) -> bytes:
        head = {"id": self._job.request_id, "object": kind, "created": int(time.time())}
        return msgspec.json.encode({**head, "model": self._job.model})[:-1]

    def _encode_events(self, tokens: list[str]) -> bytes:
        return b"".join(
            [self._event_prefix + token.encode() + self._event_suffix for token in tokens]
        )

    def _usage(self) -> dict[str, Any]:
        prompt = prompt_blocks.token_count(self._job.prompt)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self._sent_tokens,
            "total_tokens": prompt + self._sent_tokens,
            "prompt_tokens_details": {"cached_tokens": self._job.cached_tokens},
        }

    def _stream_end(self) -> bytes:
        if not self._include_usage:
            return b"data: [DONE]\n\n"
        head = self._encode_head("chat.completion.chunk" if self._chat else "text_completion")
        usage = msgspec.json.encode(self._usage())
        return b"data: " + head + b',"choices":[],"usage":' + usage + b"}\n\ndata: [DONE]\n\n"
