"""What VMs tell each other of the rejections that upstreams stand."""

import dataclasses
import functools

import anyio
import pytest

from hollyring.limits import upstream_places
from hollyring.membership import heartbeat
from hollyring.node import clock, heartbeat_messages, wire
from hollyring.node.tests import simulated_fleet

CODEC = wire.Codec(heartbeat_messages.MESSAGES)


def rejections_known(vm, upstream):
    return vm.state.registry.rejection_limits.per_second(upstream.incarnation)


def all_know(vms, upstream, limit):
    return all(rejections_known(vm, upstream) == limit for vm in vms)


def answer(limit):
    head = simulated_fleet.answer_with_limit(None)
    return dataclasses.replace(head, rejection_limit=limit)


def test_other_vms_learn_of_the_rejections_that_an_upstream_stands_and_of_their_end(simulate):
    async def scenario(fleet):
        await fleet.start_for_the_first_time(fleet.names, 3, 4.0)
        first, *others = fleet.vms.values()
        upstream = first.state.registry.get("u-1")
        for named in (3.0, None):
            sent_at = clock.now()
            await anyio.sleep(0.01)
            first.state.observe_head(upstream, answer(named), sent_at)
            await fleet.wait_until(functools.partial(all_know, others, upstream, named), 1.0)
            assert all(
                vm.state.registry.request_limits.per_second(upstream.incarnation) is None
                for vm in fleet.vms.values()
            )

    simulate(scenario)


def test_status_names_the_rejections_that_upstreams_stand():
    limit = heartbeat.UpstreamRequestLimit("i-1", 1, 3.0, 0.5)
    status = heartbeat.FleetStatus(True, 1, [], [], [], rejection_limits=[limit])
    assert CODEC.decode(CODEC.encode(status))[0] == status


@pytest.mark.parametrize(
    "message",
    [
        heartbeat.PermitRequest("i-1", 1, 0.2, False, False, 3.0, "vm-1/1/1", 2.0),
        heartbeat.PermitReply(True, 0.0, True),
        heartbeat.PlaceReport("i-1", 1, "vm-1/1/1", upstream_places.Outcome.REJECTED.value),
    ],
)
def test_messages_of_places_survive_encoding_and_decoding(message):
    assert CODEC.decode(CODEC.encode(message))[0] == message


def test_request_for_a_permit_of_an_earlier_build_takes_no_place():
    request = heartbeat.PermitRequest("i-1", 1, 2.0)
    assert (request.limited, request.place, request.rejections_per_second) == (True, "", -1.0)
