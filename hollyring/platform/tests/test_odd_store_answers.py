"""Tests that odd answers of the store fail one call and nothing else."""

import base64
import contextlib
import json

import anyio
import pytest

from hollyring.configuration import store_revision
from hollyring.node import exchanges, interfaces
from hollyring.platform import store
from hollyring.platform.tests import (
    conftest,
    odd_values,
    test_odd_entries,
    test_odd_entries_of_vms,
    test_process,
)

ITEM = {"key": "servers/i-1", "value": "e30=", "revision": 3, "created_rev": 3, "lease": 0}
GONE = {"key": "servers/i-2", "revision": 4, "deleted": True}
AT = store_revision.Revision(1, 2)
PUT = interfaces.Put("hollyring/vm/vm-1", b"{}", interfaces.Lease(1, 3))
CALLS = {
    "get": (ITEM | {"current_rev": 4}, lambda client: client.get("servers/i-1")),
    "list": (
        {"items": [ITEM], "truncated": False, "current_rev": 4},
        lambda client: client.list("servers/"),
    ),
    "watch": (
        {"events": [ITEM, GONE], "current_rev": 4},
        lambda client: client.watch("servers/", AT, 0.0),
    ),
    "commit": ({"revision": 4}, lambda client: client.commit({PUT.key: AT}, [PUT])),
    "grant": ({"lease": 3, "ttl_ms": 3000}, lambda client: client.grant(3.0)),
}


class Answers:
    """Takes the place of the connections to the store."""

    def __init__(self):
        self.body = b""
        self.era = b"1"
        self.calls = 0

    async def call(self, address, request, seconds, max_bytes):
        self.calls += 1
        headers = [] if self.era is None else [(b"store-era", self.era)]
        return exchanges.Response(200, headers, self.body)


@pytest.fixture
def client():
    metadata_store = store.MetadataStore("127.0.0.1:1")
    metadata_store._pool = Answers()
    return metadata_store


@pytest.mark.anyio
@pytest.mark.parametrize("name", CALLS)
async def test_odd_answer_fails_as_if_there_were_none(client, name):
    document, call = CALLS[name]
    client._pool.body = json.dumps(document).encode()
    expected = await call(client)
    for description, body in odd_values.documents(document):
        client._pool.body = body
        try:
            await call(client)
        except interfaces.StoreError:
            continue
        except Exception as error:
            pytest.fail(f"{description}: {error!r}")
    client._pool.body = json.dumps(document).encode()
    assert await call(client) == expected


@pytest.mark.anyio
@pytest.mark.parametrize("value", ["2^63", "10^30", "negative", "5000 digits", "null", "fraction"])
@pytest.mark.parametrize("name", ["list", "watch", "commit"])
async def test_revision_that_no_store_reaches_fails_the_call(client, name, value):
    document, call = CALLS[name]
    field = "revision" if name == "commit" else "current_rev"
    client._pool.body = odd_values.put(document, (field,), odd_values.VALUES[value])
    with pytest.raises(interfaces.StoreError):
        await call(client)


@pytest.mark.anyio
@pytest.mark.parametrize("value", ["\u00e9", "*", "AAA", "e30=\0", "=" * 1000])
async def test_value_that_is_no_base64_is_an_empty_one(client, value):
    body = {"items": [ITEM | {"value": value}], "truncated": False, "current_rev": 4}
    client._pool.body = json.dumps(body).encode()
    listing = await client.list("servers/")
    assert [item.value for item in listing.items] == [b""]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "era",
    [b"9" * 5000, b"9" * 40, b"10000000", b"-1", b"x", b"\xb2", b"1.0"],
    ids=test_odd_entries.repr_start,
)
@pytest.mark.parametrize("name", CALLS)
async def test_odd_era_fails_the_call_and_is_not_taken_for_the_latest(client, name, era):
    document, call = CALLS[name]
    client._pool.body = json.dumps(document).encode()
    eras = []
    client.set_era_listener(eras.append)
    client._pool.era = era
    with pytest.raises(interfaces.StoreError):
        await call(client)
    client._pool.era = b"1"
    await call(client)
    assert eras == [1]


@pytest.mark.anyio
@pytest.mark.parametrize("key", ["servers/i-1", "servers/", ""])
async def test_list_whose_pages_do_not_end_fails(client, key):
    body = {"items": [ITEM, ITEM | {"key": key}], "truncated": True, "current_rev": 4}
    client._pool.body = json.dumps(body).encode()
    with pytest.raises(interfaces.StoreError), anyio.fail_after(2.0):
        await client.list("servers/")
    assert client._pool.calls <= 2


@pytest.mark.anyio
@pytest.mark.parametrize("name, field", [("list", "items"), ("watch", "events")])
async def test_key_that_was_not_asked_for_fails_the_call(client, name, field):
    document, call = CALLS[name]
    body = document | {field: [ITEM | {"key": "op/config"}]}
    client._pool.body = json.dumps(body).encode()
    with pytest.raises(interfaces.StoreError):
        await call(client)


@pytest.mark.anyio
@pytest.mark.parametrize("name, field", [("list", "items"), ("watch", "events")])
@pytest.mark.parametrize("key", [b"\\ud800", b"\xed\xa0\x80", b"\xff"])
async def test_item_whose_key_is_not_unicode_does_not_hide_the_others(client, name, field, key):
    document, call = CALLS[name]
    odd = ITEM | {"key": "servers/ODD"}
    body = json.dumps(document | {field: [odd, ITEM, odd]}).encode()
    client._pool.body = body.replace(b"ODD", key)
    found = await call(client)
    items = found.items if name == "list" else found.changes
    assert [item.key for item in items] == [ITEM["key"]]


@pytest.mark.anyio
async def test_list_goes_on_behind_an_item_whose_key_is_not_unicode(client):
    page = {"items": [ITEM, ITEM | {"key": "servers/j-ODD"}], "truncated": True, "current_rev": 4}
    client._pool.body = json.dumps(page).encode().replace(b"ODD", b"\\ud800")
    with pytest.raises(interfaces.StoreError, match="pages without end"):
        await client.list("servers/")
    assert client._pool.calls == 2


@pytest.mark.anyio
async def test_long_entries_are_neither_kept_nor_hide_the_others(client):
    long = base64.b64encode(b"[" * 1_000_000).decode()
    keys = ["servers/a", "servers/b", "hollyring/vm/c", "hollyring/vm/.software", "op/config"]
    body = {"events": [ITEM | {"key": key, "value": long} for key in keys], "current_rev": 4}
    client._pool.body = json.dumps(body).encode()
    changes = (await client.watch("", AT, 0.0)).changes
    assert [len(change.value) for change in changes] == [0, 0, 0, 1_000_000, 1_000_000]


@pytest.mark.anyio
async def test_prefix_is_listed_again_when_its_changes_are_too_many_to_be_read(client):
    async def call(address, request, seconds, max_bytes):
        raise exchanges.BodyTooLongError("body without end")

    client._pool.call = call
    with pytest.raises(interfaces.HistoryCompactedError):
        await client.watch("servers/", AT, 0.0)
    with pytest.raises(interfaces.StoreError):
        await client.list("servers/")


def odd_answer(body, *lines):
    head = [b"HTTP/1.1 200 OK", *(lines or [b"store-era: 1", b"content-length: %d" % len(body)])]
    return b"\r\n".join([*head, b"", b""]) + body


GOOD_BODY = b'{"items":[],"events":[],"current_rev":4,"revision":4,"lease":3}'
HUGE_REVISION = b'{"items":[],"events":[],"current_rev":%d,"revision":%d}' % (10**18, 10**18)
ODD_ANSWERS = {
    "deep": odd_answer(odd_values.put({}, ("unknown",), odd_values.VALUES["deep lists"])),
    "no JSON": odd_answer(b"\xff\xfe"),
    "no object": odd_answer(b"[]"),
    "huge revision": odd_answer(HUGE_REVISION),
    "huge era": odd_answer(GOOD_BODY, b"store-era: " + b"9" * 30, b"content-length: 63"),
    "long era": odd_answer(GOOD_BODY, b"store-era: " + b"9" * 5000, b"content-length: 63"),
    "no length": odd_answer(b"", b"store-era: 1", b"content-length: x"),
    "long length": odd_answer(b"", b"store-era: 1", b"content-length: " + b"9" * 5000),
    "negative length": odd_answer(b"", b"store-era: 1", b"content-length: -1"),
    "no HTTP": b"\x00\x01\xff" * 1000,
    "long status": b"HTTP/1.1 " + b"9" * 5000 + b" OK\r\n\r\n",
    "long header": b"HTTP/1.1 200 OK\r\na: " + b"x" * 1_000_000 + b"\r\n\r\n",
    "many headers": b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 200_000 + b"\r\n",
}


class OddStore(conftest.StoreStandIn):
    """The store, which answers all calls with `odd`, if set."""

    odd = None

    async def handle(self, request, writer):
        if self.odd is None:
            await super().handle(request, writer)
        else:
            writer.write(self.odd)


@pytest.mark.anyio
@pytest.mark.xdist_group("platform-fleets")
@pytest.mark.parametrize("name", ODD_ANSWERS)
async def test_vms_answer_beside_odd_answers_of_the_store_and_follow_it_afterwards(tmp_path, name):
    async with contextlib.AsyncExitStack() as stack:
        odd_store = await stack.enter_async_context(OddStore().running())
        server = await stack.enter_async_context(conftest.ServerStandIn().running())
        joined = await stack.enter_async_context(conftest.ServerStandIn("i-2").running())
        await odd_store.put("op/config", test_odd_entries_of_vms.CONFIG)
        await odd_store.put("servers/i-1", conftest.make_entry(server.address))
        server.delay_seconds = 0.02
        vms = [
            stack.enter_context(
                test_process.VmProcess(tmp_path, odd_store.address, vm_name).running()
            )
            for vm_name in ("vm-1", "vm-2")
        ]
        for vm in vms:
            await vm.wait_ready()
            await vm.wait_listed(2)
        odd_store.odd = ODD_ANSWERS[name]
        async with odd_store.condition:  # ends the watches that wait
            odd_store.history_start = odd_store.revision + 1
            odd_store.condition.notify_all()
        statuses = []
        for number in range(8):
            for vm in vms:
                request_id = f"{vm.log_path.stem}-{number}"
                statuses.append((await test_process.post(vm, request_id)).status)
            await anyio.sleep(0.25)
        await odd_store.put("servers/i-2", conftest.make_entry(joined.address))
        odd_store.odd = None
        statuses += await test_odd_entries_of_vms.wait_served_by(vms, joined)
        assert set(statuses) == {200}
        for vm in vms:
            texts = [line.get("text") for line in vm.log_lines()]
            assert vm.process.poll() is None
            assert texts.count("vm: started") == 1
            assert not [line for line in vm.log_lines() if "trace" in line]
            assert texts.count("store: store returned from an older copy") == 0
