"""VMs that are out of step take up no stream at another software version, over simulated VMs."""

import collections
import dataclasses
import random

import anyio
import pytest

from hollyring.core import request_types
from hollyring.delivery import stream_origins
from hollyring.node import clock
from hollyring.node.tests import simulated_fleet
from hollyring.routing import registry, software_versions

VMS = [f"vm-{n}" for n in range(1, 6)]
SERVICE = simulated_fleet.SERVICE
SETTLED_SECONDS = 4.0
STREAM_SECONDS = 8.0
"""Longest time from the start of a stream until its caller takes it up."""


def add_upstream(fleet, name, software):
    upstream = simulated_fleet.Upstream(name)
    upstream.entry = dataclasses.replace(upstream.entry, software=software)
    fleet.add_upstream(upstream)


def remove_upstream(fleet, name):
    del fleet.upstreams[name]
    fleet.store.remove("servers/" + name)


async def start_all(fleet):
    add_upstream(fleet, "u-0", "v0")
    for name in fleet.names:
        fleet.start(name)
    await anyio.sleep(SETTLED_SECONDS)


def cut_from_vms(fleet, name):
    fleet.partitions |= {frozenset({name, other}) for other in fleet.names if other != name}


def cut(fleet, name, form):
    if form != "vms":
        cut_from_store = fleet.store.silent_to if form == "silent" else fleet.store.unreachable_from
        cut_from_store.add(name)
    if form != "store":
        cut_from_vms(fleet, name)


def heal(fleet):
    fleet.partitions.clear()
    fleet.store.unreachable_from.clear()
    fleet.store.silent_to.clear()


def begin_stream(vm, request_id, rng):
    """Begin a stream that may be resumed; return its software version, None if none may begin."""
    upstreams = vm.state.registry.of_service(SERVICE)
    withheld = vm.state.withheld_software(SERVICE, clock.now())
    usable = {u.entry.software for u in upstreams if not u.leaving} - withheld
    if not vm.state.ready or not usable or not vm.state.may_begin_streams(clock.now()):
        return None
    software = rng.choice(sorted(usable))
    origin = stream_origins.Origin(SERVICE, software)
    vm.state.stream_origins.record(request_id, origin, clock.now())
    return software


async def take_up(vm, request_id):
    """Return where a VM goes on with a stream, as its relay decides it."""
    request = request_types.Request(
        "r", b"POST", b"/", "h", "/", (), b"", "", 5.0, None, 3, request_id
    )
    arrived_at = clock.now()
    await vm.copies.await_versions(request, arrived_at + 5.0, arrived_at)
    return vm.state.continuation(request, SERVICE, arrived_at)


def refuses(continuation):
    return isinstance(continuation, stream_origins.NotResumable)


@pytest.mark.parametrize("form", ["both", "silent"])
@pytest.mark.parametrize("seconds", [1.0, 5.0])
def test_cut_vm_refuses_streams_that_began_at_a_version_that_joined_meanwhile(
    simulate, form, seconds
):
    async def scenario(fleet):
        await start_all(fleet)
        cut(fleet, "vm-5", form)
        add_upstream(fleet, "u-1", "v1")
        begun_at = None
        rng = random.Random(0)
        until = clock.now() + seconds
        while clock.now() < until:
            for number, name in enumerate(VMS[:4]):
                if begin_stream(fleet.vms[name], f"{name}-{clock.now()}", rng) == "v1":
                    begun_at = begun_at or clock.now()
                    assert refuses(await take_up(fleet.vms["vm-5"], "unknown")), number
            await anyio.sleep(0.02)
        assert begun_at is not None
        assert refuses(await take_up(fleet.vms["vm-5"], "unknown"))
        heal(fleet)
        for _ in range(100):
            assert refuses(await take_up(fleet.vms["vm-5"], "unknown"))
            await anyio.sleep(0.01)

    simulate(scenario, vms=VMS, upstreams=())


@pytest.mark.parametrize("form", ["vms", "store"])
def test_vm_cut_on_one_side_only_takes_up_streams_where_one_version_serves(simulate, form):
    async def scenario(fleet):
        await start_all(fleet)
        cut(fleet, "vm-5", form)
        await anyio.sleep(3.0)
        rng = random.Random(0)
        for number in range(20):
            assert begin_stream(fleet.vms["vm-1"], f"r-{number}", rng) == "v0"
            await anyio.sleep(0.3)
            found = await take_up(fleet.vms["vm-5"], f"r-{number}")
            assert found == stream_origins.OnlySoftware("v0")

    simulate(scenario, vms=VMS, upstreams=())


def test_store_outage_of_all_vms_refuses_streams_of_one_version_for_less_than_a_second(simulate):
    refused = []

    async def scenario(fleet):
        await start_all(fleet)
        fleet.store.unreachable_from = set(VMS)
        rng = random.Random(0)
        began_at = clock.now()
        while clock.now() - began_at < 12.0:
            request_id = f"r-{clock.now()}"
            begin_stream(fleet.vms["vm-1"], request_id, rng)
            await anyio.sleep(0.3)
            if refuses(await take_up(fleet.vms["vm-5"], request_id)):
                refused.append(clock.now() - began_at)

    simulate(scenario, vms=VMS, upstreams=())
    assert not refused or max(refused) < 2.0


def test_vm_in_touch_takes_up_every_stream_where_one_version_serves(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        calls = fleet.store.calls
        rng = random.Random(0)
        for number in range(400):
            vm = fleet.vms[rng.choice(VMS)]
            assert await take_up(vm, f"unknown-{number}") == stream_origins.OnlySoftware("v0")
            await anyio.sleep(0.05)
        in_20_seconds = fleet.store.calls - calls
        assert in_20_seconds < 20 * len(VMS) / software_versions.MAX_KNOWLEDGE_AGE_SECONDS * 2

    simulate(scenario, vms=VMS, upstreams=())


def test_vms_of_a_large_fleet_that_do_not_serve_join_no_versions_after_a_cut(simulate):
    names = [f"vm-{n:02}" for n in range(60)]

    async def scenario(fleet):
        add_upstream(fleet, "u-0", "v0")
        await fleet.start_for_the_first_time(names, 3, 4.0)
        following = [vm for vm in fleet.vms.values() if not vm.state.peers.is_serving]
        for vm in following:
            assert await take_up(vm, "unknown") == stream_origins.OnlySoftware("v0")
        cut_off = {vm.name for vm in following[:5]}
        fleet.store.unreachable_from |= cut_off
        fleet.partitions |= {frozenset({a, b}) for a in cut_off for b in names if a != b}
        add_upstream(fleet, "u-1", "v1")
        await anyio.sleep(software_versions.SETTLE_SECONDS)
        for vm in following:
            assert refuses(await take_up(vm, "unknown"))

    simulate(scenario, vms=names, upstreams=())


@pytest.mark.parametrize("seed", range(8))
def test_no_stream_goes_on_at_another_version_whatever_is_cut_and_joins(simulate, seed):
    rng = random.Random(seed)
    streams = []
    counts = collections.Counter()

    def begin(fleet):
        request_id = f"r-{clock.now():.4f}"
        software = begin_stream(rng.choice(list(fleet.vms.values())), request_id, rng)
        counts["begun" if software else "not begun"] += 1
        if software:
            streams.append((request_id, software, clock.now()))

    async def resume(fleet):
        request_id, software, began_at = rng.choice(streams[-60:])
        vm = rng.choice(list(fleet.vms.values()))
        if clock.now() - began_at > STREAM_SECONDS or not vm.state.ready:
            return
        if rng.random() < 0.3:
            request_id = ""
        found = await take_up(vm, request_id)
        if refuses(found):
            counts["refused"] += 1
            return
        counts["continued"] += 1
        assert found == stream_origins.OnlySoftware(software), (vm.name, began_at, clock.now())

    async def play(fleet):
        while True:
            await anyio.sleep(0.02)
            begin(fleet)
            if streams:
                fleet.group.start_soon(resume, fleet)

    async def disturb(fleet, step):
        """Cut some VMs around the time at which a version joins, and restart or heal some."""
        for name in rng.sample(VMS, rng.choice([1, 1, 2, 5])):
            cut(fleet, name, rng.choice(["both", "both", "silent", "store", "vms"]))
        await anyio.sleep(rng.choice([0.0, 0.1, 0.5, 2.0]))
        add_upstream(fleet, f"u-{step}", f"v{step}")
        if rng.random() < 0.3:
            remove_upstream(fleet, f"u-{step - 1}")
        await anyio.sleep(rng.choice([0.1, 0.5, 1.0, 2.0]))
        if rng.random() < 0.3:
            fleet.kill(rng.choice(VMS))
        await anyio.sleep(rng.choice([0.1, 0.5, 1.0, 4.0]))
        heal(fleet)
        for name in set(VMS) - set(fleet.vms):
            fleet.start(name)
        if rng.random() < 0.3:
            remove_upstream(fleet, f"u-{step}")
            add_upstream(fleet, f"u-{step + 1}", f"v{step + 1}")
        await anyio.sleep(2.0)

    async def leave_one_version(fleet):
        for name in sorted(fleet.upstreams)[:-1]:
            remove_upstream(fleet, name)
        await anyio.sleep(stream_origins.ORIGIN_TTL_SECONDS + SETTLED_SECONDS)

    async def scenario(fleet):
        await start_all(fleet)
        for step in range(10, 50, 10):
            newest = sorted(fleet.upstreams)[-1]
            remove_upstream(fleet, newest)
            add_upstream(fleet, f"u-{step - 1}", f"v{step - 1}")
            await leave_one_version(fleet)
            async with anyio.create_task_group() as group:
                group.start_soon(play, fleet)
                await disturb(fleet, step)
                group.cancel_scope.cancel()

    simulate(scenario, vms=VMS, upstreams=())
    assert counts["continued"] and counts["refused"]


@pytest.mark.parametrize("healed_after", [0.0, 0.3, 1.5])
def test_vm_that_missed_a_version_concludes_nothing_from_a_store_that_returned_from_an_older_copy(
    simulate, healed_after
):
    async def scenario(fleet):
        await start_all(fleet)
        cut(fleet, "vm-5", "both")
        add_upstream(fleet, "u-1", "v1")
        await anyio.sleep(3.0)
        for name in VMS[:4]:
            fleet.kill(name)
        fleet.restore_store(4.0)
        await anyio.sleep(healed_after)
        remove_upstream(fleet, "u-1")
        heal(fleet)
        for _ in range(20):
            assert refuses(await take_up(fleet.vms["vm-5"], "unknown"))
            await anyio.sleep(0.1)

    simulate(scenario, vms=VMS, upstreams=())


@pytest.mark.parametrize("seed", range(4))
def test_vm_cut_while_a_version_joined_and_the_store_returned_from_before_takes_up_no_stream(
    simulate, seed
):
    joined = []
    refused = []

    async def scenario(fleet):
        rng = random.Random(seed)
        await start_all(fleet)
        cut(fleet, "vm-5", "both")
        await anyio.sleep(2.0)
        left_at = clock.now()
        await anyio.sleep(0.2)
        add_upstream(fleet, "u-1", "v1")
        await anyio.sleep(2.0)
        request_id = next(
            f"r-{n}" for n in range(50) if begin_stream(fleet.vms["vm-1"], f"r-{n}", rng) == "v1"
        )
        await anyio.sleep(0.4)
        fleet.restore_store(clock.now() - left_at)
        assert "servers/u-1" not in fleet.store.items
        heal(fleet)
        healed_at = clock.now()
        while clock.now() < healed_at + 1.5:
            found = await take_up(fleet.vms["vm-5"], request_id)
            if not refuses(found) and found.software != "v1":
                joined.append(round(clock.now() - healed_at, 3))
            elif refuses(found):
                refused.append(round(clock.now() - healed_at, 3))
            await anyio.sleep(0.01)

    simulate(scenario, vms=VMS, upstreams=())
    assert not joined, (joined[0], joined[-1], refused[:1], refused[-1:], len(joined))


@pytest.mark.parametrize("begun_at", ["serving", "following"])
@pytest.mark.parametrize("taken_up_at", ["serving", "following"])
def test_store_outage_of_a_large_fleet_refuses_no_stream_of_the_only_version(
    simulate, begun_at, taken_up_at
):
    names = [f"vm-{n:02}" for n in range(60)]
    refused = []

    async def scenario(fleet):
        add_upstream(fleet, "u-0", "v0")
        await fleet.start_for_the_first_time(names, 3, 4.0)
        vms = {
            kind: [vm for vm in fleet.vms.values() if vm.state.peers.is_serving is serves]
            for kind, serves in (("serving", True), ("following", False))
        }
        rng = random.Random(0)
        began_at = clock.now()
        fleet.store.unreachable_from.update(names)
        while clock.now() - began_at < 10.0:
            first, second = rng.choice(vms[begun_at]), rng.choice(vms[taken_up_at])
            request_id = f"r-{clock.now()}"
            assert begin_stream(first, request_id, rng) == "v0"
            await anyio.sleep(0.6)
            if refuses(await take_up(second, request_id)):
                refused.append(round(clock.now() - began_at, 1))

    simulate(scenario, vms=names, upstreams=())
    assert not refused or max(refused) < 2.0, (len(refused), refused)


def test_vm_that_has_not_read_the_record_begins_no_stream_at_a_version_that_others_may_lack(
    simulate,
):
    begun = []

    async def scenario(fleet):
        await start_all(fleet)
        other = registry.Entry("u-9", "another", "u-9:1", "a", 8, False, 1, {}, "v9")
        fleet.store.put("servers/u-9", other)
        fleet.kill("vm-1")
        remove_upstream(fleet, "u-0")
        fleet.store.unlisted.add(("vm-1", "vm/"))
        cut_from_vms(fleet, "vm-1")
        starting = fleet.start("vm-1")
        await fleet.wait_until(lambda: starting.state.ready, 2.0)
        cut(fleet, "vm-5", "both")
        add_upstream(fleet, "u-1", "v1")
        joined_at = clock.now()
        while clock.now() - joined_at < 2.0:
            assert starting.state.software_versions.awaits_record
            if begin_stream(starting, f"r-{clock.now()}", random.Random(0)):
                begun.append(clock.now() - joined_at)
                found = await take_up(fleet.vms["vm-5"], "unknown")
                assert refuses(found), (found, clock.now() - joined_at)
            await anyio.sleep(0.02)

    simulate(scenario, vms=VMS, upstreams=())
    assert software_versions.SETTLE_SECONDS <= min(begun) < software_versions.MAX_WITHHELD_SECONDS


def test_vm_cut_off_for_long_begins_no_stream_at_a_version_that_the_others_have_forgotten(simulate):
    begun, joined = [], []

    async def scenario(fleet):
        await start_all(fleet)
        cut(fleet, "vm-5", "both")
        cut_at = clock.now()
        add_upstream(fleet, "u-1", "v1")
        remove_upstream(fleet, "u-0")
        rng = random.Random(0)
        while clock.now() - cut_at < 45.0:
            request_id = f"r-{clock.now()}"
            if begin_stream(fleet.vms["vm-5"], request_id, rng) is not None:
                begun.append((request_id, clock.now() - cut_at))
            for request_id, began_at in begun:
                if clock.now() - cut_at - began_at < 12.0:
                    found = await take_up(fleet.vms["vm-1"], request_id)
                    if not refuses(found) and found.software != "v0":
                        joined.append((began_at, clock.now() - cut_at, found))
            await anyio.sleep(1.0)
        heal(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        assert begin_stream(fleet.vms["vm-5"], "later", rng) == "v1"

    simulate(scenario, vms=VMS, upstreams=())
    assert not joined, (len(joined), joined[0])
    assert max(began_at for _, began_at in begun) > 10.0


@pytest.mark.parametrize("form", ["vms", "store", "store for all", "silent for all"])
def test_vm_that_reaches_most_others_or_the_store_begins_streams_however_long_it_lacks_the_rest(
    simulate, form
):
    async def scenario(fleet):
        await start_all(fleet)
        if form == "silent for all":
            fleet.store.silent_to = set(VMS)
        elif form == "store for all":
            fleet.store.unreachable_from = set(VMS)
        else:
            cut(fleet, "vm-5", form)
        for _ in range(40):
            await anyio.sleep(1.0)
            assert begin_stream(fleet.vms["vm-5"], f"r-{clock.now()}", random.Random(0)) == "v0"

    simulate(scenario, vms=VMS, upstreams=())


def test_only_vm_of_a_fleet_begins_streams_without_the_store(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-0", "v0")
        vm = fleet.start("vm-1")
        await anyio.sleep(SETTLED_SECONDS)
        fleet.store.unreachable_from = {"vm-1"}
        await anyio.sleep(40.0)
        assert begin_stream(vm, "r-1", random.Random(0)) == "v0"

    simulate(scenario, vms=["vm-1"], upstreams=())


def begin_as_earlier_build(fleet, vm, request_id):
    """Begin a stream at the newest version that is in the record as this VM knows it."""
    item = vm.state.mirrors["vm/"].items.get("vm/.software")
    recorded = simulated_fleet.StoreCodec().decode_software(item).versions[SERVICE]
    listed = {upstream.entry.software for upstream in vm.state.registry.of_service(SERVICE)}
    software = max(recorded & listed)
    origin = stream_origins.Origin(SERVICE, software)
    vm.state.stream_origins.record(request_id, origin, clock.now())
    return software


@pytest.mark.parametrize("seed", range(8))
def test_vm_beside_one_of_an_earlier_build_joins_no_stream_that_began_there_at_once(simulate, seed):
    joined, begun = [], []

    async def take_up_at(vm, request_id):
        found = await take_up(vm, request_id)
        if found == stream_origins.OnlySoftware("v0"):
            joined.append(request_id)

    async def scenario(fleet):
        rng = random.Random(seed)
        fleet.of_earlier_build = {"vm-1"}
        await start_all(fleet)
        await anyio.sleep(rng.random())
        cut(fleet, "vm-5", "both")
        joined_at = clock.now()
        add_upstream(fleet, "u-1", "v1")
        while clock.now() - joined_at < 1.0:
            request_id = f"r-{clock.now() - joined_at:.3f}"
            if begin_as_earlier_build(fleet, fleet.vms["vm-1"], request_id) == "v1":
                begun.append(request_id)
                fleet.group.start_soon(take_up_at, fleet.vms["vm-5"], request_id)
            await anyio.sleep(0.02)
        await anyio.sleep(1.0)

    simulate(scenario, vms=VMS, upstreams=())
    assert begun and not joined, (len(begun), len(joined), joined[:1], joined[-1:])


def test_vms_beside_one_of_an_earlier_build_take_up_streams_of_the_only_version(simulate):
    async def scenario(fleet):
        fleet.of_earlier_build = {"vm-1"}
        await start_all(fleet)
        for number in range(40):
            for name in VMS[1:]:
                found = await take_up(fleet.vms[name], f"unknown-{number}")
                assert found == stream_origins.OnlySoftware("v0")
            await anyio.sleep(0.1)

    simulate(scenario, vms=VMS, upstreams=())
