import dataclasses

import anyio
import msgspec
import pytest

from hollyring.core import prompt_blocks
from hollyring.fleet import messages
from hollyring.standins import batching, engine, generated_text, prefix_cache

pytestmark = pytest.mark.anyio

MESSAGES = [{"role": "user", "content": "c" * 3 * prompt_blocks.BLOCK_BYTES}]
PROMPT = prompt_blocks.render(MESSAGES)


def chat(**fields):
    usage = {"include_usage": True}
    body = {"model": "parish", "messages": MESSAGES, "max_tokens": 8, "stream": True}
    return {**body, "stream_options": usage, "cache_salt": "7", **fields}


@pytest.fixture
async def served(start_background, settings):
    """Return a running engine and a function that sends it requests."""
    return start_background(engine.Engine(settings))


def usage_of(response):
    return next(event["usage"] for event in response.events if "usage" in event)


def cached_tokens(response):
    return usage_of(response)["prompt_tokens_details"]["cached_tokens"]


async def test_stream_matches_expected_tokens(served):
    response = await served[1]("POST", "/v1/chat/completions", chat())
    assert response.complete
    assert response.tokens == generated_text.expected_tokens(PROMPT, 8)
    assert response.body.endswith(b"data: [DONE]\n\n")
    assert usage_of(response)["completion_tokens"] == 8
    assert usage_of(response)["prompt_tokens"] == prompt_blocks.token_count(PROMPT)


async def test_unstreamed_responses_match_expected_tokens(served):
    response = await served[1]("POST", "/v1/chat/completions", chat(stream=False))
    choice = response.json()["choices"][0]
    assert choice["message"]["content"] == "".join(generated_text.expected_tokens(PROMPT, 8))
    body = {"model": "parish", "prompt": "Kigoma", "stop_after": 2}
    choice = (await served[1]("POST", "/v1/completions", body)).json()["choices"][0]
    assert choice["text"] == "".join(generated_text.expected_tokens(b"Kigoma", 2))
    assert choice["finish_reason"] == "stop"


@pytest.mark.parametrize("resumed", [1, 5, 7])
async def test_resume_continues_at_exact_token(served, resumed):
    whole = generated_text.expected_tokens(PROMPT, 8)
    body = chat(resume_text="".join(whole[:resumed]), max_tokens=8 - resumed)
    response = await served[1]("POST", "/v1/chat/completions", body)
    assert response.tokens == whole[resumed:]


async def test_repeated_prompt_hits_cache_only_with_same_salt(served):
    first = await served[1]("POST", "/v1/chat/completions", chat())
    second = await served[1]("POST", "/v1/chat/completions", chat())
    other = await served[1]("POST", "/v1/chat/completions", chat(cache_salt="8"))
    assert cached_tokens(first) == 0
    assert cached_tokens(second) == 3 * prompt_blocks.BLOCK_TOKENS
    assert cached_tokens(other) == 0


async def test_cache_events_match_snapshot(served):
    await served[1]("POST", "/v1/chat/completions", chat())
    await served[1]("POST", "/v1/chat/completions", chat(cache_salt="8"))
    response = (await served[1]("GET", "/events?after=0")).json()
    blocks = set()
    for event in response["events"]:
        change = blocks.update if event["kind"] == "stored" else blocks.difference_update
        change(event["blocks"])
    snapshot = (await served[1]("GET", "/cache")).json()
    assert blocks == set(snapshot["blocks"])
    assert len(blocks) == 4
    assert response["last"] == snapshot["seq"]
    block_hashes = [f"{name:016x}" for name in prompt_blocks.block_hashes(8, PROMPT)]
    assert set(block_hashes) <= blocks


async def test_dropped_event_leaves_sequence_gap(served, inject_fault):
    await inject_fault(served[0], "event_loss", count=1)
    await served[1]("POST", "/v1/chat/completions", chat())
    await served[1]("POST", "/v1/chat/completions", chat(cache_salt="8"))
    events = (await served[1]("GET", "/events?after=0")).json()["events"]
    assert events[0]["seq"] > 1


async def test_restart_empties_cache_and_raises_incarnation(served, inject_fault):
    await served[1]("POST", "/v1/chat/completions", chat())
    before = (await served[1]("GET", "/cache")).json()
    await inject_fault(served[0], "restart")
    after = (await served[1]("GET", "/cache")).json()
    assert after["incarnation"] > before["incarnation"]
    assert (before["blocks"] != [], after["blocks"]) == (True, [])
    response = await served[1]("POST", "/v1/chat/completions", chat())
    assert response.tokens == generated_text.expected_tokens(PROMPT, 8)


async def test_cut_stream_is_incomplete(served, inject_fault):
    await inject_fault(served[0], "cut", value=3, count=1)
    response = await served[1]("POST", "/v1/chat/completions", chat())
    assert not response.complete
    assert response.tokens == generated_text.expected_tokens(PROMPT, 3)


@pytest.mark.parametrize("cancel_by", ["delete", "disconnect"])
async def test_cancelled_request_stops_running(start_background, settings, cancel_by):
    settings.batch.speed = 1.0
    standin, call = start_background(engine.Engine(settings))
    disconnect = anyio.Event()
    responses = []

    async def send_request():
        body = chat(max_tokens=100_000, request_id="r1")
        responses.append(await call("POST", "/v1/chat/completions", body, disconnect=disconnect))

    # Without the timeout a job that is not cancelled would keep the test running.
    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            group.start_soon(send_request)
            while not (await call("GET", "/load")).json()["running"]:
                await anyio.sleep(0)
            if cancel_by == "delete":
                await call("DELETE", "/v1/requests/r1")
            disconnect.set()
    assert not responses[0].complete
    assert (await call("GET", "/load")).json()["running"] == 0


def test_smaller_priority_is_admitted_first():
    cache = prefix_cache.PrefixCache(10, 1e6)
    batch = batching.Batch(batching.BatchSettings(max_running=1), cache)
    jobs = [
        batching.Job(f"r{priority}", "parish", b"prompt", 0, priority, 0, 1)
        for priority in (5, 1, 3)
    ]
    for job in jobs:
        batch.submit(job)
    done = []
    for _ in jobs:
        batch.step(0.0)
        done += [job.request_id for job in jobs if job.done and job.request_id not in done]
    assert done == ["r1", "r3", "r5"]


def test_step_takes_longer_for_uncached_tokens():
    cache = prefix_cache.PrefixCache(10, 1e6)
    batch_settings = batching.BatchSettings(
        prefill_tokens_per_second=1000.0, decode_step_seconds=0.01
    )
    batch = batching.Batch(batch_settings, cache)
    seconds = []
    for _ in range(2):
        batch.submit(batching.Job("r", "parish", b"x" * prompt_blocks.BLOCK_BYTES, 0, 0, 0, 1))
        seconds.append(batch.step(0.0))
    assert seconds == pytest.approx([0.01 + 1.024, 0.01])


def test_slowdown_multiplies_step_duration():
    batch_settings = batching.BatchSettings(decode_step_seconds=0.01)
    batch = batching.Batch(batch_settings, prefix_cache.PrefixCache(10, 1e6), lambda: 5.0)
    assert batch.step(0.0) == pytest.approx(0.05)


async def test_slow_fault_applies_to_running_requests(served, inject_fault):
    slowdown = served[0].slowdown
    assert slowdown() == 1.0
    await inject_fault(served[0], "slow", value=5)
    assert slowdown() == 5.0


def test_cache_evicts_least_recently_used_then_idle():
    cache = prefix_cache.PrefixCache(2, 10.0)
    cache.store([1], 0.0)
    cache.store([2], 1.0)
    cache.match_prefix([1], 2.0)
    cache.store([3], 3.0)
    assert cache.block_hashes == [f"{1:016x}", f"{3:016x}"]
    cache.evict_idle(12.5)
    assert cache.block_hashes == [f"{3:016x}"]


async def test_model_is_not_served_while_new_version_loads(served):
    standin, call = served
    order = {"order_id": "o1", "fencing": 2, "kind": "load_model"}
    order |= {"model": "parish", "version": "v2"}
    assert (await call("POST", "/orders", order)).status == 202
    assert standin.counters["fault_restart"] == 0
    refused = await call("POST", "/v1/chat/completions", chat())
    assert refused.json()["error"]["code"] == "model_not_loaded"
    while "parish" not in (await call("GET", "/load")).json()["models"]:
        await anyio.sleep(0)
    assert (await call("GET", "/load")).json()["models"] == {"parish": "v2"}
    assert (await call("POST", "/orders", order)).status == 202
    assert (await call("GET", "/load")).json()["models"] == {"parish": "v2"}


async def test_rollout_orders_are_executed(served):
    standin, call = served
    changes = [
        messages.LoadModel("parish", "v2"),
        messages.LoadAdapter("kigoma"),
        messages.LoadAdapter("mtwara"),
        messages.UnloadAdapter("kigoma"),
        messages.SetRole("decode"),
    ]
    for number, change in enumerate(changes):
        order = messages.Order(f"id-{number}", 1, "engine", change, 0.0)
        assert (await call("POST", "/orders", msgspec.json.encode(order.body))).status == 202
    load = (await call("GET", "/load")).json()
    while load["role"] != "decode":
        await anyio.sleep(0)
        load = (await call("GET", "/load")).json()
    assert (load["models"], load["adapters"]) == ({"parish": "v2"}, ["mtwara"])


@pytest.mark.parametrize("checks, status", [(True, 409), (False, 202)])
async def test_stale_order_is_rejected_only_if_fencing_is_checked(
    start_background, settings, checks, status
):
    _, call = start_background(engine.Engine(dataclasses.replace(settings, checks_fencing=checks)))
    role = {"kind": "set_role", "role": "decode"}
    assert (await call("POST", "/orders", {"order_id": "a", "fencing": 2, **role})).status == 202
    assert (await call("POST", "/orders", {"order_id": "b", "fencing": 1, **role})).status == status


async def test_received_headers_are_recorded(served, caller):
    headers = [("Authorization", "Bearer secret")]
    await served[1]("POST", "/v1/chat/completions", chat(), headers)
    seen = (await caller(served[0].handle_control)("GET", "/seen")).json()
    assert seen == [["authorization: Bearer secret"]]
