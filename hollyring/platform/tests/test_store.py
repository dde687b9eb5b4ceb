"""Client of the metadata store, against the stand-in on loopback."""

import asyncio
import contextlib
import errno

import anyio
import pytest

from hollyring.configuration import store_revision
from hollyring.limits import service_retry_budgets
from hollyring.membership import heartbeat
from hollyring.node import interfaces, state, store_watcher
from hollyring.platform import documents, store
from hollyring.platform.tests import conftest
from hollyring.routing import software_versions

pytestmark = pytest.mark.anyio


@pytest.fixture
async def stand_in():
    async with conftest.StoreStandIn().running() as running:
        yield running


@pytest.fixture
def client(stand_in):
    return store.MetadataStore(stand_in.address)


@pytest.fixture
def lacking(monkeypatch):
    """Return a context in which no connection can be opened, by the number of the error."""

    @contextlib.contextmanager
    def context(number):
        async def fail(*_):
            raise OSError(number, "no connection")

        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "create_connection", fail)
            yield

    return context


async def test_every_answer_states_its_era(stand_in, client):
    eras = []
    client.set_era_listener(eras.append)
    await stand_in.put("op/config", {})
    listing = await client.list("op/")
    assert listing.revision == listing.items[0].revision == store_revision.Revision(1, 2)
    await stand_in.restore(stand_in.copy())
    assert await client.get("op/none") is None
    assert eras == [1, 2]
    stand_in.failure_status = 503
    with pytest.raises(interfaces.StoreError):
        await client.get("op/none")
    assert eras == [1, 2, 2]


async def test_store_that_names_too_many_calls_has_answered(stand_in, client):
    stand_in.failure_status = 429
    with pytest.raises(interfaces.StoreRefusedError):
        await client.get("op/none")


async def test_store_is_not_asked_by_a_vm_that_has_no_descriptors_left(stand_in, client, lacking):
    with lacking(errno.EMFILE), pytest.raises(interfaces.StoreNotAskedError):
        await client.get("op/none")


async def test_refused_connection_to_the_store_is_no_want_of_this_vm(stand_in, client, lacking):
    with lacking(errno.ECONNREFUSED), pytest.raises(interfaces.StoreError) as caught:
        await client.get("op/none")
    assert not isinstance(caught.value, interfaces.StoreNotAskedError)


async def test_starting_vm_reads_no_older_record_of_the_software_versions(stand_in, client):
    codec = documents.DocumentCodec()
    versions = software_versions.Record(1, {"s": frozenset({"v1", "v2"})})
    await stand_in.put(documents.STORE_KEYS.software, codec.encode_software(versions))
    stand_in.older_items = {}
    vm_info = heartbeat.VmInfo("vm-1", 1, "c", "p", "dar-a", "dar")
    retries = service_retry_budgets.RetryRules(0.2, 50.0, 10.0)
    vm_state = state.State(vm_info, codec, documents.STORE_KEYS, retries)
    vm_state.software_versions.await_record()
    client.set_era_listener(lambda era: vm_state.store_era.observe(era, "store"))
    watcher = store_watcher.StoreWatcher(client, vm_state, None, lambda: None)
    async with anyio.create_task_group() as group:
        group.start_soon(watcher.run)
        with anyio.fail_after(1.0):
            while vm_state.software_versions.awaits_record:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert vm_state.software_versions.of_service("s") == {"v1", "v2"}


async def test_era_is_0_without_the_header(stand_in, client, monkeypatch):
    monkeypatch.setattr(store, "ERA_HEADER", b"absent")
    await stand_in.put("op/config", {})
    assert (await client.get("op/config")).revision == store_revision.Revision(0, 2)


async def test_watch_from_a_revision_of_an_earlier_era_fails(stand_in, client):
    copy = stand_in.copy()
    await stand_in.put("op/config", {})
    listing = await client.list("op/")
    await stand_in.restore(copy)
    with pytest.raises(interfaces.HistoryCompactedError):
        await client.watch("op/", listing.revision, 0.1)
    await stand_in.put("op/config", {})
    await stand_in.put("op/config", {})
    with pytest.raises(interfaces.HistoryCompactedError):
        await client.watch("op/", listing.revision, 0.1)


async def test_lease_of_an_earlier_era_is_neither_renewed_nor_ended_nor_used(stand_in, client):
    copy = stand_in.copy()
    lost = await client.grant(15.0)
    await stand_in.restore(copy)
    given_again = await client.grant(15.0)
    assert given_again.number == lost.number
    assert not await client.renew(lost)
    await client.revoke(lost)
    assert stand_in.leases == {given_again.number}
    put = interfaces.Put("vm/vm-1", b"", lost)
    assert await client.commit({}, [put]) == interfaces.LeaseExpired()
    assert stand_in.items == {}


async def test_write_under_a_lease_that_another_vm_has_by_now_counts_as_lost(stand_in, client):
    """The client learns of the new era from the answer to the write only."""
    copy = stand_in.copy()
    lost = await client.grant(15.0)
    await stand_in.restore(copy)
    await store.MetadataStore(stand_in.address).grant(15.0)
    put = interfaces.Put("vm/vm-1", b"", lost)
    assert await client.commit({}, [put]) == interfaces.LeaseExpired()


async def test_conditional_write_uses_no_revision_of_an_earlier_era(stand_in, client):
    copy = stand_in.copy()
    await stand_in.put("vm/a", b"1")
    read = await client.get("vm/a")
    await stand_in.restore(copy)
    await stand_in.put("vm/a", b"2")
    assert (await client.get("vm/a")).revision.number == read.revision.number
    written = await client.commit({"vm/a": read.revision}, [interfaces.Put("vm/a", b"3")])
    assert written == interfaces.Conflict()
    assert (await client.get("vm/a")).value == b"2"


async def test_key_that_another_writer_put_without_a_lease_is_told_from_a_leased_one(
    stand_in, client
):
    await client.grant(3.0)
    await stand_in.put("vm/leased", "", lease=1)
    await stand_in.put("vm/unleased", "", lease=0)
    await stand_in.put("vm/odd", "", lease=False)
    items = [await client.get(f"vm/{name}") for name in ("leased", "unleased", "odd")]
    assert [item.unleased for item in items] == [False, True, False]
    listing = await client.list("vm/")
    assert {item.key: item.unleased for item in listing.items}["vm/unleased"]
