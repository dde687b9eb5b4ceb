"""The record of software versions outlives the VMs, over simulated VMs and their store."""

import dataclasses
import functools
import random

import anyio
import pytest

from hollyring.core import request_types
from hollyring.delivery import stream_origins
from hollyring.node import adapter_server, clock, heartbeat_sender
from hollyring.node.tests import simulated_fleet
from hollyring.routing import software_versions

VMS = [f"vm-{n}" for n in range(1, 10)]
SERVICE = simulated_fleet.SERVICE
KEY = simulated_fleet.STORE_KEYS.software
TTL_SECONDS = stream_origins.ORIGIN_TTL_SECONDS
SETTLED_SECONDS = 4.0
"""Time within which a change of the versions is in the record."""

MAX_OPENING_SECONDS = 1.0
"""Time within which streams begin at a new version while the store answers."""


async def start_all(fleet, names=()):
    for name in names or fleet.names:
        fleet.start(name)
    await fleet.wait_until(lambda: all(vm.state.ready for vm in fleet.vms.values()), 1.0)


async def kill_all(fleet):
    for name in list(fleet.vms):
        fleet.kill(name)
    await anyio.sleep(0.5)


def add_upstream(fleet, name, software):
    upstream = simulated_fleet.Upstream(name)
    upstream.entry = dataclasses.replace(upstream.entry, software=software)
    fleet.add_upstream(upstream)


def remove_upstream(fleet, name):
    del fleet.upstreams[name]
    fleet.store.remove("servers/" + name)


def replace_upstreams(fleet, software):
    """Replace all upstreams by one of another software version."""
    for name in list(fleet.upstreams):
        remove_upstream(fleet, name)
    add_upstream(fleet, f"u-{software}", software)


def writes(fleet):
    return sum(change.key == KEY for change in fleet.store.changes)


def recorded(fleet):
    """Return the versions in the record."""
    codec = simulated_fleet.StoreCodec()
    return set(codec.decode_software(fleet.store.items[KEY]).versions[SERVICE])


def continuation(vm, resumed_request_id="unknown", resume_after=3):
    """Return where a VM continues a stream that began elsewhere, or begins one."""
    request = request_types.Request(
        "r", b"POST", b"/", "h", "/", (), b"", "", 5.0, None, resume_after, resumed_request_id
    )
    return vm.state.continuation(request, SERVICE)


def open_versions(vm):
    """Return the software versions at which a VM begins streams that may be continued."""
    upstreams = vm.state.registry.of_service(SERVICE)
    withheld = vm.state.withheld_software(SERVICE, clock.now())
    return {upstream.entry.software for upstream in upstreams} - withheld


def serving(fleet):
    return [vm for vm in fleet.vms.values() if vm.state.peers.is_serving]


def refusing(fleet):
    """Return the VMs that refuse a stream of unknown origin."""
    return {
        name
        for name, vm in fleet.vms.items()
        if isinstance(continuation(vm), stream_origins.NotResumable)
    }


def test_record_is_written_once_for_each_change_of_the_versions(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        assert (recorded(fleet), writes(fleet)) == ({"v1"}, 1)
        add_upstream(fleet, "u-2", "v2")
        add_upstream(fleet, "u-3", "v2")
        await anyio.sleep(SETTLED_SECONDS)
        assert (recorded(fleet), writes(fleet)) == ({"v1", "v2"}, 2)
        remove_upstream(fleet, "u-1")
        await anyio.sleep(TTL_SECONDS - 1.0)
        assert (recorded(fleet), writes(fleet)) == ({"v1", "v2"}, 2)
        await anyio.sleep(1.0 + SETTLED_SECONDS)
        assert (recorded(fleet), writes(fleet)) == ({"v2"}, 3)
        await anyio.sleep(2 * TTL_SECONDS)
        assert writes(fleet) == 3

    simulate(scenario, vms=VMS, upstreams=())


def test_version_that_left_while_no_vm_ran_counts_after_a_restart_of_all(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        await kill_all(fleet)
        replace_upstreams(fleet, "v2")
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)
        await anyio.sleep(TTL_SECONDS + SETTLED_SECONDS)
        assert (refusing(fleet), recorded(fleet)) == (set(), {"v2"})

    simulate(scenario, vms=VMS, upstreams=())


@pytest.mark.parametrize("restarts", [1, 3])
def test_no_stream_is_refused_after_a_restart_of_all_where_one_version_serves(simulate, restarts):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        for _ in range(restarts):
            await kill_all(fleet)
            await start_all(fleet)
            assert refusing(fleet) == set()
        assert writes(fleet) == 1

    simulate(scenario, vms=VMS, upstreams=())


def test_record_is_written_anew_when_the_store_returns_from_a_copy_without_it(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        add_upstream(fleet, "u-2", "v2")
        await anyio.sleep(SETTLED_SECONDS)
        fleet.restore_store(SETTLED_SECONDS + 1.0)
        assert recorded(fleet) == {"v1"}
        await anyio.sleep(SETTLED_SECONDS)
        assert recorded(fleet) == {"v1", "v2"}
        await kill_all(fleet)
        replace_upstreams(fleet, "v2")
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)
        assert all(vm.state.software_versions.is_complete(clock.now()) for vm in fleet.vms.values())

    simulate(scenario, vms=VMS, upstreams=())


def test_record_of_an_earlier_era_does_not_show_that_no_other_version_served(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        replace_upstreams(fleet, "v2")
        await anyio.sleep(SETTLED_SECONDS)
        await kill_all(fleet)
        replace_upstreams(fleet, "v1")
        fleet.restore_store(SETTLED_SECONDS + 2.0)
        await anyio.sleep(2.0)
        assert recorded(fleet) == {"v1"}
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)
        await anyio.sleep(TTL_SECONDS - 1.0)
        assert refusing(fleet) == set(VMS)
        await anyio.sleep(1.0 + SETTLED_SECONDS)
        assert refusing(fleet) == set()
        await kill_all(fleet)
        await start_all(fleet)
        assert refusing(fleet) == set()

    simulate(scenario, vms=VMS, upstreams=())


def test_record_that_cannot_be_read_shows_nothing_and_is_replaced(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        fleet.store.put(KEY, b"\x00")
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)
        await anyio.sleep(TTL_SECONDS + SETTLED_SECONDS)
        assert (refusing(fleet), recorded(fleet)) == (set(), {"v1"})

    simulate(scenario, vms=VMS, upstreams=())


def test_vm_that_has_not_read_the_record_refuses_streams_of_unknown_origin(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet, VMS[:8])
        await anyio.sleep(SETTLED_SECONDS)
        fleet.store.unreachable_from = {"vm-9"}
        fleet.partitions = {frozenset({"vm-9", name}) for name in VMS[:8]}
        fleet.start("vm-9")
        await anyio.sleep(SETTLED_SECONDS)
        assert refusing(fleet) == {"vm-9"}
        fleet.store.unreachable_from, fleet.partitions = set(), set()
        await anyio.sleep(SETTLED_SECONDS)
        assert refusing(fleet) == set()

    simulate(scenario, vms=VMS, upstreams=())


def test_loss_of_all_vms_with_two_versions_refuses_what_is_taken_up_and_nothing_else(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        add_upstream(fleet, "u-2", "v2")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        await kill_all(fleet)
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)
        begun = [continuation(vm, resume_after=None) for vm in fleet.vms.values()]
        assert set(begun) == {stream_origins.AnySoftware()}

    simulate(scenario, vms=VMS, upstreams=())


@pytest.mark.parametrize("registered_seconds", [0.1, 0.3])
def test_stream_is_not_joined_where_its_version_came_and_left_just_before_all_vms_were_lost(
    simulate, registered_seconds
):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        add_upstream(fleet, "u-2", "v2")
        await anyio.sleep(registered_seconds)
        assert all("u-2" in vm.state.registry.upstreams for vm in fleet.vms.values())
        await kill_all(fleet)
        remove_upstream(fleet, "u-2")
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)

    simulate(scenario, vms=VMS, upstreams=())


def test_stream_is_not_joined_where_all_vms_were_lost_before_the_first_record(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        fleet.first_start_delay = adapter_server.FIRST_START_DELAY_SECONDS
        await start_all(fleet)
        await anyio.sleep(1.0)
        assert all(open_versions(vm) == {"v1"} for vm in fleet.vms.values())
        fleet.first_start_delay = 0.0
        await kill_all(fleet)
        replace_upstreams(fleet, "v2")
        await start_all(fleet)
        assert refusing(fleet) == set(VMS)

    simulate(scenario, vms=VMS, upstreams=())


@pytest.mark.parametrize("store_seconds", [0.0, 0.4, 2.0])
def test_no_stream_begins_at_a_version_that_a_loss_of_all_vms_would_make_unknown(
    simulate, store_seconds
):
    began = set()

    async def scenario(fleet, seconds_until_lost):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        fleet.store.delays = dict.fromkeys(fleet.names, store_seconds)
        add_upstream(fleet, "u-2", "v2")
        lost_at = clock.now() + seconds_until_lost
        has_begun = False
        while clock.now() < lost_at:
            await anyio.sleep(0.002)
            has_begun |= any("v2" in open_versions(vm) for vm in fleet.vms.values())
        began.add(has_begun)
        await kill_all(fleet)
        fleet.store.delays = {}
        remove_upstream(fleet, "u-2")
        await start_all(fleet)
        assert not has_begun or refusing(fleet) == set(fleet.names)

    for step in range(13):
        seconds_until_lost = 0.004 * 1.7**step * (1.0 + store_seconds)
        lost = functools.partial(scenario, seconds_until_lost=seconds_until_lost)
        simulate(lost, vms=VMS[:4], upstreams=())
    assert began == {False, True}


@pytest.mark.parametrize("read_only_to", [{"vm-1"}, set(VMS)])
def test_new_version_waits_for_the_record_where_another_one_serves(simulate, read_only_to):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        calls = fleet.store.refused_writes
        fleet.store.read_only_to = read_only_to
        add_upstream(fleet, "u-2", "v2")
        await anyio.sleep(SETTLED_SECONDS)
        expected = {"v1"} if len(read_only_to) == len(VMS) else {"v1", "v2"}
        assert all(open_versions(vm) == expected for vm in fleet.vms.values())
        assert fleet.store.refused_writes - calls <= 2 * SETTLED_SECONDS
        fleet.store.read_only_to = set()
        await anyio.sleep(SETTLED_SECONDS)
        assert all(open_versions(vm) == {"v1", "v2"} for vm in fleet.vms.values())

    simulate(scenario, vms=VMS, upstreams=())


def test_only_version_is_used_soon_although_the_store_takes_no_record(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        fleet.store.read_only_to = set(VMS)
        replace_upstreams(fleet, "v2")
        await anyio.sleep(0.2)
        assert all(open_versions(vm) == set() for vm in fleet.vms.values())
        await anyio.sleep(software_versions.MAX_UNRECORDED_SECONDS)
        assert all(open_versions(vm) == {"v2"} for vm in fleet.vms.values())

    simulate(scenario, vms=VMS, upstreams=())


def test_new_version_costs_a_large_fleet_one_write_and_gets_streams_within_a_second(simulate):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        await fleet.start_for_the_first_time(fleet.names, 3, 4.0)
        for version in ("v2", "v3"):
            before = writes(fleet)
            add_upstream(fleet, f"u-{version}", version)
            fleet.group.start_soon(add_more, fleet, version)
            await fleet.wait_until(
                lambda version=version: all(version in open_versions(vm) for vm in serving(fleet)),
                MAX_OPENING_SECONDS,
            )
            await anyio.sleep(SETTLED_SECONDS)
            assert writes(fleet) - before == 1

    async def add_more(fleet, version):
        for number in range(8):
            await anyio.sleep(0.05)
            add_upstream(fleet, f"u-{version}-{number}", version)

    simulate(scenario, vms=[f"vm-{n:03}" for n in range(60)], upstreams=())


def test_stream_of_a_vm_lost_within_a_heartbeat_of_its_start_is_refused_and_a_later_one_goes_on(
    simulate,
):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        add_upstream(fleet, "u-2", "v2")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        lost = fleet.vms["vm-1"]
        began_at_v2 = stream_origins.Origin(SERVICE, "v2")
        lost.state.stream_origins.record("told", began_at_v2, clock.now())
        await anyio.sleep(2 * heartbeat_sender.HEARTBEAT_SECONDS)
        lost.state.stream_origins.record("untold", began_at_v2, clock.now())
        fleet.kill("vm-1")
        await anyio.sleep(2 * heartbeat_sender.HEARTBEAT_SECONDS)
        for vm in fleet.vms.values():
            assert isinstance(continuation(vm, "untold"), stream_origins.NotResumable)
            assert continuation(vm, "told") == stream_origins.OnlySoftware("v2")

    simulate(scenario, vms=VMS, upstreams=())


@pytest.mark.parametrize("seed", range(6))
def test_no_stream_goes_on_at_another_version_whatever_restarts_and_returns(simulate, seed):
    rng = random.Random(seed)
    streams = []
    answers = {"continued": 0, "refused": 0}

    def begin_stream(fleet, number):
        vm = rng.choice(list(fleet.vms.values()))
        registered = list(vm.state.registry.upstreams.values())
        if vm.state.ready and registered:
            software = rng.choice(registered).entry.software
            streams.append((f"r-{number}", software, clock.now()))

    def resume(fleet):
        request_id, software, began_at = rng.choice(streams)
        vm = rng.choice(list(fleet.vms.values()))
        if clock.now() - began_at > TTL_SECONDS / 2 or not vm.state.ready:
            return
        if isinstance(continuation(vm, request_id), stream_origins.NotResumable):
            answers["refused"] += 1
            return
        answers["continued"] += 1
        assert {u.entry.software for u in vm.state.registry.upstreams.values()} <= {software}

    async def disturb(fleet, event, step):
        match event:
            case "restart":
                await kill_all(fleet)
                await start_all(fleet)
            case "restart on another version":
                await kill_all(fleet)
                replace_upstreams(fleet, f"v{step}")
                await start_all(fleet)
            case "replace":
                replace_upstreams(fleet, f"v{step}")
            case "add":
                add_upstream(fleet, f"u-{step}", f"v{step}")
            case "restore":
                fleet.restore_store(rng.choice([1.0, 4.0, 9.0]))

    async def scenario(fleet):
        add_upstream(fleet, "u-0", "v0")
        await start_all(fleet)
        await anyio.sleep(SETTLED_SECONDS)
        events = ["restart", "restart on another version", "replace", "add", "restore", "none"]
        events = ["none", "restart", *rng.choices(events, k=10), "restart on another version"]
        for step, event in enumerate(events, 1):
            await disturb(fleet, event, step)
            for number in range(40):
                await anyio.sleep(SETTLED_SECONDS / 40)
                begin_stream(fleet, f"{step}-{number}")
                if streams:
                    resume(fleet)
            if rng.random() < 0.3:
                await anyio.sleep(TTL_SECONDS + 1.0)

    simulate(scenario, vms=VMS[:4], upstreams=())
    assert answers["continued"] and answers["refused"]


def test_vm_that_does_not_serve_refuses_streams_of_unknown_origin_and_no_caller_is_sent_there(
    simulate,
):
    async def scenario(fleet):
        add_upstream(fleet, "u-1", "v1")
        add_upstream(fleet, "u-2", "v2")
        await fleet.start_for_the_first_time(fleet.names, 3, 4.0)
        following = {vm.name for vm in fleet.vms.values() if not vm.state.peers.is_serving}
        assert following and following <= refusing(fleet)
        for vm in fleet.vms.values():
            addresses = vm.state.peers.caller_addresses(True, clock.now(), 64)
            assert not {address.partition(":")[0] for address in addresses} & following

    simulate(scenario, vms=[f"vm-{n:02}" for n in range(60)], upstreams=())
