"""End-to-end tests of requests to a fleet of separate processes."""

import random

import anyio
import httpcore
import msgspec
import openai
import pytest

from hollyring.experiments import launcher, load_generator, small_deployment

pytestmark = pytest.mark.xdist_group("experiments-processes")

ADMISSION_TIMEOUT_SECONDS = 20.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path, anyio_backend):
    base = launcher.free_base_port()
    options = launcher.EngineOptions(speed=20.0)
    started = launcher.Fleet(
        small_deployment.document(base), tmp_path, base + launcher.PLATFORM_PORT_OFFSET, options
    )
    try:
        await started.start_all()
        yield started
    finally:
        started.stop()


@pytest.fixture
def caller(fleet):
    return load_generator.Caller(
        "kigoma", "demo-key-kigoma", [vm.caller_address for vm in fleet.vms]
    )


async def wait_until_admitted(client, caller):
    """Wait until a request is admitted, as rate limit shares of a new fleet start empty."""
    with anyio.fail_after(ADMISSION_TIMEOUT_SECONDS):
        while True:
            outcome = await client.complete(caller, "parish", "ready?", 1, stream=False)
            if outcome.complete:
                return
            await anyio.sleep(0.1)


@pytest.mark.anyio
async def test_responses_are_complete_and_orders_run_once(fleet, caller):
    client = load_generator.Client()
    await wait_until_admitted(client, caller)
    prompts = load_generator.PromptGenerator(random.Random(1))
    for stream in (True, False):
        outcome = await client.complete(caller, "parish", prompts.next_prompt(), 20, stream)
        assert (outcome.complete, outcome.correct, outcome.code) == (True, True, "")
    for _ in range(2):
        outcome = await client.send_order(caller, "/orders", "order-7")
        assert (outcome.complete, outcome.correct) == (True, True)
        caller.entries.reverse()
    await client.close()
    async with httpcore.AsyncConnectionPool() as pool:
        url = fleet.control_url("orders-0")
        response = await pool.request("GET", f"{url}/executions")
        assert list(msgspec.json.decode(response.content).values()) == [1]
        seen = await pool.request("GET", f"{url}/seen")
        assert b"demo-key" not in seen.content
        for name in ("engine-0", "engine-1"):
            seen = await pool.request("GET", f"{fleet.control_url(name)}/seen")
            assert b"demo-key" not in seen.content


async def inject_fault(fleet, name, **fields):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"{fleet.control_url(name)}/faults"
        response = await pool.request("POST", url, content=msgspec.json.encode(fields))
    assert response.status == 200


@pytest.mark.anyio
@pytest.mark.parametrize("tokens", [0, 1, 5, 19])
async def test_stream_cut_by_engine_is_resumed_completely(fleet, caller, tokens):
    client = load_generator.Client()
    await wait_until_admitted(client, caller)
    for engine in ("engine-0", "engine-1"):
        await inject_fault(fleet, engine, kind="cut", value=tokens, count=1)
    for stream in (True, False):
        outcome = await client.complete(caller, "parish", "Is Kigoma eligible?", 20, stream)
        assert (outcome.complete, outcome.correct, outcome.code) == (True, True, "")
    await client.close()


async def stream_events(entry, body, headers):
    """Return the event ID and the text of each event of a stream."""
    result = []
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", f"http://{entry}/v1/chat/completions", content=body,
                                    headers=headers)  # fmt: skip
    for block in response.content.decode().split("\n\n"):
        if not block.startswith("id: "):
            continue
        head, data = block.split("\n", 1)
        chunk = msgspec.json.decode(data.removeprefix("data: "))
        result.append((head.removeprefix("id: "), chunk["choices"][0]["delta"]["content"]))
    return result


@pytest.mark.anyio
@pytest.mark.parametrize("seen", [1, 7, 12])
async def test_client_resumes_at_another_vm_after_last_event(fleet, caller, seen):
    client = load_generator.Client()
    await wait_until_admitted(client, caller)
    await client.close()
    messages = [{"role": "user", "content": "Is Kigoma eligible?"}]
    body = {"model": "parish", "messages": messages, "max_tokens": 12, "stream": True}
    content = msgspec.json.encode(body)
    key = (b"authorization", f"Bearer {caller.key}".encode())
    whole = await stream_events(caller.entries[0], content, [key])
    last = (b"last-event-id", whole[seen - 1][0].encode())
    resumed = []

    async def resume():
        resumed.append(await stream_events(caller.entries[1], content, [key, last]))

    async with anyio.create_task_group() as group:
        for _ in range(3):
            group.start_soon(resume)
    for events in resumed:
        assert [text for _, text in events] == [text for _, text in whole[seen:]]


@pytest.mark.anyio
async def test_openai_client_streams_chat(fleet, caller):
    client = load_generator.Client()
    await wait_until_admitted(client, caller)
    await client.close()
    library = openai.AsyncOpenAI(api_key=caller.key, base_url=f"http://{caller.entries[1]}/v1")
    async with library:
        models = await library.models.list()
        assert [model.id for model in models.data] == ["parish"]
        messages = [{"role": "user", "content": "Is Kigoma eligible?"}]
        stream = await library.chat.completions.create(
            model="parish", messages=messages, max_tokens=5, stream=True
        )
        texts = [chunk.choices[0].delta.content async for chunk in stream if chunk.choices]
    assert len([text for text in texts if text]) == 5


@pytest.mark.anyio
async def test_invalid_key_is_rejected_as_not_run(fleet, caller):
    client = load_generator.Client()
    unknown_caller = load_generator.Caller("kigoma", "not-a-key", caller.entries)
    outcome = await client.complete(unknown_caller, "parish", "hello", 1, stream=False)
    await client.close()
    assert (outcome.code, outcome.execution) == ("invalid_key", "not_run")
