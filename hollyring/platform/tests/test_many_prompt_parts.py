"""Memory of VMs beside a caller whose prompts have very many short parts, in legal heads."""

import asyncio

import httpcore
import pytest

from hollyring.platform.tests import conftest, crowds, test_crowds, test_held_bytes

pytestmark = pytest.mark.xdist_group("platform-processes")

PARTS = 1_700
"""Parts of one token each in a prompt; its header takes some 15,300 bytes of 16,384."""

PROMPTS = 480
CALLERS = 12
SERVER_TOKENS = 128_362
STORE_TOKENS = 1_336_862
ENGINE = {"slots": 128, "kv_capacity": SERVER_TOKENS, "kv_token_bytes": 18_432, "link_mbps": 88_000}


def config(store_address):
    engine = ENGINE | {"models": [{"name": "m"}]}
    service = {"name": "s", "max_connections": 100, "engine": engine}
    store = {"name": "keep", "max_connections": 100, "kv_store_addr": store_address}
    store |= {"zone": "dar-a", "kv_capacity": STORE_TOKENS, "link_mbps": 53_000}
    service["kv_store_addr"] = store_address
    return test_held_bytes.CONFIG | {"services": [service, store]}


async def stream(pool, vm, number):
    """Send one prompt whose parts nobody has sent before; return the status of the answer."""
    parts = ",".join(f"{number * PARTS + n:x}:1" for n in range(PARTS))
    headers = {"host": "h.example", "authorization": "Bearer k", "x-request-id": f"r-{number}"}
    headers |= {"x-model": "m", "x-token-counts": f"{PARTS},3", "x-prompt-prefix": parts}
    headers |= {"x-deadline-ms": "8000"}
    response = await pool.request("POST", vm.caller_url + "/c/x", headers=headers, content=b"x")
    return response.status


@pytest.mark.anyio
async def test_prompts_of_very_many_parts_do_not_end_vms(tmp_path):
    """What the VMs take a server to hold was bounded by tokens, and each part took 200 bytes."""
    kept = conftest.ServerStandIn("c-1", events=1)
    servers = [conftest.ServerStandIn(f"i-{n}", events=2) for n in range(2)]
    models = [{"name": "m", "version": 1}]
    async with kept.running():
        serving = test_held_bytes.serving(
            tmp_path,
            servers,
            test_crowds.MEMORY_MB,
            vms=2,
            config=config(kept.address),
            models=models,
            slots=128,
        )
        async with serving as vms, crowds.within_memory(*vms):
            statuses = []

            async def call(first):
                async with httpcore.AsyncConnectionPool() as pool:
                    for number in range(first, PROMPTS, CALLERS):
                        try:
                            statuses.append(await stream(pool, vms[number % 2], number))
                        except (httpcore.NetworkError, httpcore.ProtocolError):
                            statuses.append(0)

            await asyncio.gather(*(call(first) for first in range(CALLERS)))
            for vm in vms:
                crowds.assert_within_memory(vm)
            assert statuses.count(200) > PROMPTS / 2
            async with httpcore.AsyncConnectionPool() as pool:
                assert await stream(pool, vms[0], PROMPTS) == 200
