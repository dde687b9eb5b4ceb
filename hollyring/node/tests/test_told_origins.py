"""VMs that follow are told where streams began, and tell it, over a large simulated fleet."""

import collections
import dataclasses
import random

import anyio
import pytest

from hollyring.delivery import stream_origins
from hollyring.membership import heartbeat
from hollyring.node import status_client
from hollyring.node.tests import simulated_fleet, test_stale_versions

LARGE = [f"vm-{n:02}" for n in range(60)]


async def start_large(fleet):
    """Start 60 VMs; return those that serve and those that follow."""
    test_stale_versions.add_upstream(fleet, "u-0", "v0")
    await fleet.start_for_the_first_time(LARGE, 3, 4.0)
    vms = list(fleet.vms.values())
    serving = [vm for vm in vms if vm.state.peers.is_serving]
    return serving, [vm for vm in vms if not vm.state.peers.is_serving]


@pytest.mark.parametrize("form", ["unreachable", "silent"])
def test_vm_that_follows_without_the_store_refuses_few_streams_of_the_only_version(simulate, form):
    refused = []

    async def scenario(fleet):
        _, following = await start_large(fleet)
        vm = following[0]
        (fleet.store.silent_to if form == "silent" else fleet.store.unreachable_from).add(vm.name)
        await anyio.sleep(5.0)
        for number in range(60):
            found = await test_stale_versions.take_up(vm, f"unknown-{number}")
            if test_stale_versions.refuses(found):
                refused.append(number)
            await anyio.sleep(0.2)

    simulate(scenario, vms=LARGE, upstreams=())
    assert len(refused) < 20, refused


def test_streams_of_two_versions_go_on_at_vms_that_follow(simulate):
    async def scenario(fleet):
        serving, following = await start_large(fleet)
        test_stale_versions.add_upstream(fleet, "u-1", "v1")
        await anyio.sleep(test_stale_versions.SETTLED_SECONDS)
        rng = random.Random(0)
        for number in range(20):
            first, second = rng.choice(following), rng.choice(serving + following)
            software = test_stale_versions.begin_stream(first, f"r-{number}", rng)
            await anyio.sleep(0.6)
            found = await test_stale_versions.take_up(second, f"r-{number}")
            assert found == stream_origins.OnlySoftware(software)
            unknown = await test_stale_versions.take_up(second, f"unknown-{number}")
            assert test_stale_versions.refuses(unknown)

    simulate(scenario, vms=LARGE, upstreams=())


@pytest.mark.parametrize("store_answers", [True, False])
def test_vms_that_follow_tell_origins_only_while_the_store_is_away_in_a_few_messages(
    simulate, monkeypatch, store_answers
):
    asked = []
    names = []
    reply = simulated_fleet.PeerConnections._reply

    def record(connections, vm, message):
        if isinstance(message, heartbeat.StatusRequest):
            told = sum(len(origins.request_ids) for origins in message.begun)
            asked.append((message.sender, told, len(message.sought)))
        return reply(connections, vm, message)

    monkeypatch.setattr(simulated_fleet.PeerConnections, "_reply", record)

    async def scenario(fleet):
        _, following = await start_large(fleet)
        if not store_answers:
            fleet.store.unreachable_from.update(LARGE)
        await anyio.sleep(5.0)
        asked.clear()
        names.append(following[0].name)
        rng = random.Random(0)
        for number in range(200):
            test_stale_versions.begin_stream(following[0], f"r-{number}", rng)
            await anyio.sleep(0.05)

    simulate(scenario, vms=LARGE, upstreams=())
    counts = collections.Counter(sender for sender, _, _ in asked)
    told = collections.Counter()
    for sender, number, _ in asked:
        told[sender] += number
    begun_at = names[0]
    polls_per_second = 1.0 / (0.75 * status_client.POLL_SECONDS)
    if not store_answers:
        assert 195 <= told.pop(begun_at) <= 200
        polls_per_second = 1.0 / status_client.TELL_SECONDS
    assert not any(told.values())
    assert counts[begun_at] <= 10.0 * polls_per_second + 1


def test_vm_that_follows_concludes_nothing_from_a_serving_vm_that_states_no_origins(
    simulate, monkeypatch
):
    status = simulated_fleet.state.State.answer_status

    def earlier_status(vm_state, request, now):
        request = heartbeat.StatusRequest(request.sender)
        answer = status(vm_state, request, now)
        return dataclasses.replace(answer, stream_origins=[], wants_origins=False)

    monkeypatch.setattr(simulated_fleet.state.State, "answer_status", earlier_status)

    async def scenario(fleet):
        _, following = await start_large(fleet)
        fleet.store.unreachable_from.update(LARGE)
        await anyio.sleep(test_stale_versions.SETTLED_SECONDS)
        assert test_stale_versions.begin_stream(following[0], "r-1", random.Random(0)) == "v0"
        await anyio.sleep(0.6)
        assert test_stale_versions.refuses(await test_stale_versions.take_up(following[1], "r-1"))

    simulate(scenario, vms=LARGE, upstreams=())


@pytest.mark.parametrize("kind", ["serving", "following"])
def test_vms_of_a_large_fleet_begin_streams_while_the_store_is_away_unless_cut_off(simulate, kind):
    async def scenario(fleet):
        serving, following = await start_large(fleet)
        vms = serving if kind == "serving" else following
        fleet.store.unreachable_from.update(LARGE)
        await anyio.sleep(30.0)
        for vm in vms:
            assert test_stale_versions.begin_stream(vm, "r-1", random.Random(0)) == "v0"
        test_stale_versions.cut_from_vms(fleet, vms[0].name)
        await anyio.sleep(3.0)
        assert test_stale_versions.begin_stream(vms[0], "r-2", random.Random(0)) is None
        assert test_stale_versions.begin_stream(vms[1], "r-2", random.Random(0)) == "v0"

    simulate(scenario, vms=LARGE, upstreams=())
