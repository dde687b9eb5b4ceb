"""Tests that odd messages of another VM, and odd values in own ones, end no task of a VM."""

import contextlib
import dataclasses
import math
import random
import types
import typing

import pytest

from hollyring.configuration import store_revision
from hollyring.core import request_types
from hollyring.membership import heartbeat
from hollyring.node import (
    errors,
    forwarded_messages,
    heartbeat_messages,
    heartbeat_sender,
    store_watcher,
    wire,
)
from hollyring.platform.tests import test_state

MESSAGES = heartbeat_messages.MESSAGES | forwarded_messages.MESSAGES
CODEC = wire.Codec(MESSAGES)
KEYS = test_state.STORE_KEYS
WHOLE = [0, 1, -1, 2**53, 2**62, 2**63 - 1, -(2**63)]
FRACTIONS = [0.0, -0.0, -1.0, 1e308, -1e308, math.inf, -math.inf, math.nan]
TEXTS = ["", "\0", "a\r\nb", "i-1", "ls", "t", "m", "servers/", "vm-2", "x" * 100_000]
MAX_NESTED_LEVELS = 64
LIST_OF_TEXTS = 0x18
LONG_LIST = 0xF0


def odd_value(hint, rng):
    """Return a value of a type, made of odd ones."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        parts = [part for part in typing.get_args(hint) if part is not type(None)]
        return None if rng.random() < 0.3 else odd_value(parts[0], rng)
    if origin in (list, tuple):
        return [odd_value(typing.get_args(hint)[0], rng) for _ in range(rng.randrange(3))]
    if dataclasses.is_dataclass(hint):
        return odd_message(hint, rng)
    match hint.__name__:
        case "bool":
            return rng.random() < 0.5
        case "int":
            return rng.choice(WHOLE)
        case "float":
            return rng.choice(FRACTIONS)
        case "bytes":
            return rng.choice(TEXTS).encode()
        case _:
            return rng.choice(TEXTS)


def odd_message(class_, rng):
    hints = typing.get_type_hints(class_)
    fields = {field.name: odd_value(hints[field.name], rng) for field in dataclasses.fields(class_)}
    return class_(**fields)


@pytest.fixture
def vm():
    started = test_state.StateVm()
    started.apply_change(KEYS.operator, "op/config", test_state.CONFIG, now=1.0)
    started.apply_change(KEYS.upstreams, "servers/i-1", test_state.ENTRY, now=1.0)
    started.apply_change(KEYS.operator, "op/version/m", {"model": "m", "version": 2}, now=1.0)
    return started


class Sent:
    """Takes the place of the connections to other VMs."""

    def __init__(self):
        self.messages = []

    def broadcast(self, addresses, message):
        self.messages.append(CODEC.decode(CODEC.encode(message))[0])


@pytest.mark.parametrize("name", MESSAGES)
def test_changed_bytes_of_a_message_are_decoded_or_unreadable(name):
    rng = random.Random(name)
    for _ in range(300):
        data = bytearray(CODEC.encode(odd_message(MESSAGES[name], rng)))
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        with contextlib.suppress(errors.PeerError):
            CODEC.decode(bytes(data[: rng.randrange(len(data)) if rng.random() < 0.3 else None]))


@pytest.mark.parametrize("level", [b"\x1c", b"\x19", b"\x1b\x01\xcc"])
def test_message_that_is_nested_deeply_is_unreadable(level):
    head = CODEC.encode(heartbeat.StatusRequest(""))[:-3]
    for levels in (MAX_NESTED_LEVELS + 1, 1_000_000):
        with pytest.raises(errors.PeerError):
            CODEC.decode(head + b"\x9c" + level * levels)


@pytest.mark.parametrize(
    "length", [b"\xff\xff\x03", b"\xff\xff\xff\xff\x07", b"\xff" * 9 + b"\x01"]
)
def test_message_that_declares_a_list_longer_than_itself_is_unreadable(length):
    data = CODEC.encode(heartbeat.CacheRequest(["a"]))
    head = data[: data.index(bytes([0x19, LIST_OF_TEXTS]))]
    with pytest.raises(errors.PeerError):
        CODEC.decode(head + bytes([0x19, LONG_LIST | 8]) + length + b"\0")


def test_whole_numbers_beyond_64_bits_are_sent_as_the_nearest_that_fit():
    load = heartbeat.UpstreamLoad("i-1", 10**30, -(10**30), 2**63, 7)
    message = test_state.make_heartbeat(loads=[load])
    received, _, _ = CODEC.decode(CODEC.encode(message))
    highest, lowest = 2**63 - 1, -(2**63)
    assert received == dataclasses.replace(
        message, loads=[heartbeat.UpstreamLoad("i-1", highest, lowest, highest, 7)]
    )


def test_heartbeat_beside_requests_with_huge_prompts_reaches_the_other_vms(vm):
    upstream = vm.state.registry.get("i-1")
    prompt = request_types.Prompt("m", (request_types.Part("p", 2**53),), 2**53, 2**53, 2**53)
    for number in range(2048):
        upstream.record_sent(f"r-{number}", prompt.prompt_tokens, 1.0, 2.0)
    sent = Sent()
    sender = heartbeat_sender.HeartbeatSender(vm.state, sent, [])
    sent.broadcast([], sender._heartbeat(2.0))
    assert sent.messages[0].loads[0].unread_tokens == 2**63 - 1


@pytest.mark.parametrize("seed", range(40))
def test_vm_goes_on_after_odd_messages_of_another_one(vm, seed):
    rng = random.Random(seed)
    sent = Sent()
    sender = heartbeat_sender.HeartbeatSender(vm.state, sent, [])
    for step in range(20):
        now = 2.0 + step / 10
        message = odd_message(heartbeat.Heartbeat, rng)
        info = dataclasses.replace(message.vm, name=f"vm-{rng.randrange(2, 5)}")
        # Whoever receives a message expects that its handling may fail, see peers.
        with contextlib.suppress(Exception):
            vm.state.receive(dataclasses.replace(message, vm=info), now)
        with contextlib.suppress(Exception):
            status = odd_message(heartbeat.FleetStatus, rng)
            vm.state.receive_status("vm-2", status, now, now)
        vm.state.peers.begin_turn(now)
        vm.state.tick(now)
        sent.broadcast([], sender._heartbeat(now))
        CODEC.encode(vm.state.fleet_status(now))
        for organisation in vm.state.deployment.organisations.values():
            vm.state.admit(organisation, None, now)
    assert vm.state.store_era.current <= store_revision.MAX_ERA
    for peer in vm.state.peers.by_name.values():
        for revision in peer.revisions.values():
            assert revision.number < store_revision.REVISIONS_PER_ERA


def test_revision_that_no_store_reaches_is_not_taken_from_another_vm(vm):
    marks = [
        heartbeat.PrefixRevision(KEYS.upstreams, 2**62, 0),
        heartbeat.PrefixRevision(KEYS.vms, 5, 2**62),
        heartbeat.PrefixRevision(KEYS.operator, 5, 0),
    ]
    vm.state.receive(test_state.make_heartbeat(revisions=marks), 2.0)
    assert vm.state.store_era.current == 0
    assert list(vm.state.peers.by_name["vm-2"].revisions) == [KEYS.operator]


@pytest.mark.parametrize("field", ["revision", "complete_revision", "era", "item", "removal"])
def test_copy_with_a_revision_that_no_store_reaches_is_not_applied(vm, field):
    watcher = store_watcher.StoreWatcher(None, vm.state, None, None)
    fields = {"revision": 50, "complete_revision": 50, "era": 0, "item": 50, "removal": 50}
    fields[field] = 2**62
    copy = heartbeat.Copy(
        KEYS.vms,
        fields["revision"],
        [heartbeat.CopyItem("hollyring/vm/vm-2", b"{}", fields["item"])],
        fields["complete_revision"],
        [heartbeat.CopyRemoval("hollyring/vm/vm-3", fields["removal"])],
        True,
        fields["era"],
    )
    assert watcher._apply_copy(vm.state.mirrors[KEYS.vms], copy) == set()
    assert vm.state.mirrors[KEYS.vms].last_change_revision == store_revision.NONE
