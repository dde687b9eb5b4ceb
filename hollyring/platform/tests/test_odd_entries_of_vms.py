"""Tests over VM processes that odd entries in the store keep no VM from following what comes after.

Each VM has to answer, to use a server that joins afterwards and to list a VM that starts then.
"""

import base64
import contextlib
import itertools
import json
import urllib.parse

import anyio
import pytest

from hollyring.platform.tests import conftest, odd_values, test_odd_entries, test_process

pytestmark = pytest.mark.xdist_group("platform-fleets")

FOLLOWING_SECONDS = 3.0
REQUESTS_AT_ONCE = 6
HERD = 4
PAGE_BYTES = 1_400_000
NUMBERS = itertools.count()
DEEP = odd_values.VALUES["deep lists"]
ROUTES = [test_process.CONFIG["routes"][0] | {"kind": "safe", "max_attempts": 2}]
CONFIG = test_process.CONFIG | {"version": 4, "routes": ROUTES}
SERVER = conftest.make_entry("127.0.0.1:9", models=[{"name": "m", "version": 1}], born=5)
cluster = test_process.cluster


def deep(document):
    return odd_values.put(document, ("unknown",), DEEP)


def odd_servers():
    """Return entries under keys of their own, each odd in another way."""
    values = {"deep": deep(SERVER)}
    for path in [("slots",), ("born",), ("models", 0, "version"), ("models",), ("zone",), ()]:
        for name, value in odd_values.VALUES.items():
            values[f"{path[:1]}{name}".replace(" ", "-")] = odd_values.put(SERVER, path, value)
    for number, address in enumerate(odd_values.ADDRESSES):
        values[f"address-{number}"] = json.dumps(SERVER | {"address": address}).encode()
    return {f"servers/{name}"[:200]: value for name, value in values.items()}


ENTRIES = {
    "server": {"servers/odd": deep(SERVER)},
    "all odd servers at once": odd_servers(),
    "server of another name": {"servers/a\r\nx-tenant: t": json.dumps(SERVER).encode()},
    "VM": {"hollyring/vm/odd": deep(test_odd_entries.VM | {"name": "odd"})},
    "VM with a huge life": {
        "hollyring/vm/vm-9": json.dumps(test_odd_entries.VM | {"life": 10**30}).encode()
    },
    "VM without a port": {
        "hollyring/vm/vm-9": json.dumps(
            test_odd_entries.VM | {"name": "vm-9", "peer_address": "127.0.0.1"}
        ).encode()
    },
    "software": {"hollyring/vm/.software": deep(test_odd_entries.SOFTWARE)},
    "software of a huge era": {
        "hollyring/vm/.software": json.dumps(test_odd_entries.SOFTWARE | {"era": 10**30}).encode()
    },
    "order lease": {"hollyring/vm/.orders": b"\xff\xfe#" + b"9" * 5000},
    "unknown key": {"hollyring/vm/": b"[", "hollyring/vm/a/b\0": DEEP},
    "weights": {"op/version/m": deep(test_odd_entries.WANTED)},
    "huge version of weights": {"op/version/m": b'{"model":"m","version":%d}' % 10**30},
    "unknown document": {"op/unknown": DEEP},
}


async def wait_served_by(vms, server, seconds=FOLLOWING_SECONDS):
    """Wait until each VM has sent a server a request; return the statuses of all requests."""
    statuses = []

    async def call(vm):
        statuses.append((await test_process.post(vm, f"r-{next(NUMBERS)}")).status)

    with anyio.fail_after(seconds):
        for vm in vms:
            before = len(server.requests)
            while len(server.requests) == before:
                async with anyio.create_task_group() as callers:
                    for _ in range(REQUESTS_AT_ONCE):
                        callers.start_soon(call, vm)
    return statuses


@pytest.mark.anyio
@pytest.mark.parametrize("name", ENTRIES)
async def test_vms_follow_what_comes_after_an_odd_entry(cluster, name):
    store, server, start = cluster
    await store.put("op/config", CONFIG)
    server.delay_seconds = 0.02
    vms = [start(), start("vm-2")]
    for vm in vms:
        await vm.wait_ready()
        await vm.wait_listed(2)
    for key, value in ENTRIES[name].items():
        await store.put(key, value)
    await anyio.sleep(1.5)
    async with conftest.ServerStandIn("i-2").running() as joined:
        await store.put("servers/i-2", conftest.make_entry(joined.address))
        statuses = await wait_served_by(vms, joined)
        vms.append(start("vm-3"))
        await vms[2].wait_ready()
        for vm in vms:
            await vm.wait_listed(3)
        statuses += await wait_served_by(vms, joined)
    assert set(statuses) == {200}
    for vm in vms:
        texts = [line.get("text") for line in vm.log_lines()]
        assert vm.process.poll() is None
        assert texts.count("vm: started") == 1
        assert "vm: background task failed" not in texts
        assert not [text for text in texts if text and "not applied" in text]
        assert not [line for line in vm.log_lines() if "trace" in line]


@pytest.mark.anyio
async def test_vms_that_start_beside_odd_entries_serve_and_list_each_other(cluster):
    store, server, start = cluster
    server.delay_seconds = 0.02
    await store.put("op/config", CONFIG)
    for entries in ENTRIES.values():
        for key, value in entries.items():
            await store.put(key, value)
    vms = [start(f"vm-{number}") for number in range(1, HERD + 1)]
    for vm in vms:
        await vm.wait_ready()
    for vm in vms:
        await vm.wait_listed(HERD)
    assert set(await wait_served_by(vms, server)) == {200}
    for vm in vms:
        assert vm.process.poll() is None
        assert not [line for line in vm.log_lines() if "trace" in line]


@pytest.mark.anyio
@pytest.mark.parametrize("whose", ["server", "VM"])
async def test_requests_are_answered_beside_an_entry_with_the_address_of_another(cluster, whose):
    store, server, start = cluster
    server.delay_seconds = 0.02
    routes = [CONFIG["routes"][0] | {"public": True}]
    await store.put("op/config", CONFIG | {"routes": routes})
    vms = [start(), start("vm-2")]
    for vm in vms:
        await vm.wait_ready()
        await vm.wait_listed(2)
    vm_address = vms[0].caller_url.removeprefix("http://")
    address = {"server": server.address, "VM": vm_address}[whose]
    await store.put("servers/odd", conftest.make_entry(address))
    await anyio.sleep(1.0)
    before = len(server.requests)
    statuses = await wait_served_by(vms * 5, server, seconds=10.0)
    assert set(statuses) == {200}
    assert len(server.requests) - before < 2 * len(statuses)
    for vm in vms:
        assert not [line for line in vm.log_lines() if "trace" in line]


class PagingStore(conftest.StoreStandIn):
    """The store, whose lists come in pages of about 1 MB."""

    async def put_at_once(self, items):
        """Write items so that a watch that waits names them all."""
        async with self.condition:
            for key, value in items.items():
                self.revision += 1
                item = {"key": key, "value": base64.b64encode(value).decode(), "lease": 0}
                self.items[key] = item | {"revision": self.revision, "created_rev": self.revision}
                self.events.append(self.items[key])
            self.condition.notify_all()

    async def _respond(self, name, query, body):
        status, document = await super()._respond(name, query, body)
        if name == "kv-range":
            after = urllib.parse.unquote(query.get("after", ""))
            rest = sorted(
                (i for i in document["items"] if i["key"] > after), key=lambda i: i["key"]
            )
            sizes = itertools.accumulate(len(item["value"]) for item in rest)
            page = [i for i, size in zip(rest, sizes, strict=True) if size <= PAGE_BYTES]
            page = page or rest[:1]
            document |= {"items": page, "truncated": len(page) < len(rest)}
        return status, document


@pytest.mark.anyio
async def test_vm_follows_after_more_changes_than_one_answer_holds(tmp_path):
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(PagingStore().running())
        server = await stack.enter_async_context(conftest.ServerStandIn().running())
        joined = await stack.enter_async_context(conftest.ServerStandIn("i-2").running())
        server.delay_seconds = 0.02
        await store.put("op/config", CONFIG)
        await store.put("servers/i-1", conftest.make_entry(server.address))
        vm = stack.enter_context(test_process.VmProcess(tmp_path, store.address).running())
        await vm.wait_ready()
        await store.put_at_once({f"servers/odd-{n}": b"[" * 1_000_000 for n in range(30)})
        await anyio.sleep(1.0)
        await store.put("servers/i-2", conftest.make_entry(joined.address))
        statuses = await wait_served_by([vm], joined, seconds=8.0)
        assert set(statuses) == {200}
        assert not [line for line in vm.log_lines() if "trace" in line]
