"""Tests that odd entries in the store neither end what reads them nor hide the others."""

import json
import math
import time

import pytest

from hollyring.configuration import mirror, store_revision
from hollyring.platform import documents
from hollyring.platform.tests import odd_values, test_codec, test_state

KEYS = test_state.STORE_KEYS
VM = {"name": "vm-2", "life": 3, "caller_address": "127.0.0.1:80", "peer_address": "127.0.0.1:81"}
VM |= {"failure_domain": "dar-a", "region": "dar", "capacity": 1.0}
SOFTWARE = {"era": 1, "versions": {"s": ["v1"]}}
WANTED = {"model": "m", "version": 3}
DEEP = odd_values.VALUES["deep lists"]
LONG = 500_000
MAX_HELD_UP_SECONDS = 0.3
"""Longest processor time of one step of the event loop; a busy machine does not add to it."""

DECODERS = {
    "upstream": ("servers/i-1", test_codec.SERVER, "decode_upstream"),
    "VM": ("hollyring/vm/vm-2", VM, "decode_vm"),
    "software": (KEYS.software, SOFTWARE, "decode_software"),
    "configuration": ("op/config", test_codec.CONFIG, "decode_deployment"),
    "weights": ("op/version/m", WANTED, "decode_wanted_version"),
}


def repr_start(value):
    """Return the beginning of a long parameter of a test."""
    return repr(value[:20])


def make_item(key, value, number=5):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return mirror.Item(key, data, store_revision.Revision(0, number))


def apply_bytes(vm, prefix, key, value):
    """Apply a change of the store to the bytes `value`."""
    vm.revision += 1
    item = make_item(key, value, vm.revision)
    changed = vm.state.mirrors[prefix].apply_changes([item], item.revision)
    vm.state.apply_store_changes(prefix, changed, 2.0)


@pytest.fixture
def vm():
    started = test_state.StateVm()
    started.apply_change(KEYS.operator, "op/config", test_state.CONFIG, now=1.0)
    started.apply_change(KEYS.upstreams, "servers/i-1", test_state.ENTRY, now=1.0)
    return started


@pytest.mark.parametrize("name", DECODERS)
def test_every_odd_document_is_decoded_or_counts_as_unreadable(name):
    key, document, decoder = DECODERS[name]
    decode = getattr(documents.DocumentCodec(), decoder)
    assert decode(make_item(key, document)) is not None
    for description, data in odd_values.documents(document):
        try:
            decode(make_item(key, data))
        except Exception as error:
            pytest.fail(f"{description}: {error!r}")


@pytest.mark.parametrize("path", [("slots",), ("born",), ("models", 0, "version")])
@pytest.mark.parametrize("value", ["negative", "2^63", "10^30", "10^400", "fraction", "1e400"])
def test_upstream_whose_number_fits_nothing_that_it_means_is_not_used(path, value):
    data = odd_values.put(test_codec.SERVER, path, odd_values.VALUES[value])
    assert documents.DocumentCodec().decode_upstream(make_item("servers/i-1", data)) is None


@pytest.mark.parametrize("field", ["service", "zone", "version"])
def test_upstream_with_an_endless_name_is_not_used(field):
    entry = test_codec.SERVER | {field: "x" * 201}
    assert documents.DocumentCodec().decode_upstream(make_item("servers/i-1", entry)) is None


@pytest.mark.parametrize("name", ["", "\0", "a\r\nx-tenant: t", "x" * 201])
def test_upstream_whose_name_no_header_can_carry_is_not_used(name):
    item = make_item("servers/" + name, test_codec.SERVER)
    assert documents.DocumentCodec().decode_upstream(item) is None


@pytest.mark.parametrize("address", odd_values.ADDRESSES, ids=repr_start)
def test_entries_without_a_usable_address_name_no_upstream_and_no_vm(address):
    codec = documents.DocumentCodec()
    entry = test_codec.SERVER | {"address": address}
    assert codec.decode_upstream(make_item("servers/i-1", entry)) is None
    for field in ("caller_address", "peer_address"):
        item = make_item("hollyring/vm/vm-2", VM | {field: address})
        assert codec.decode_vm(item) is None


def test_record_of_a_vm_under_the_key_of_another_lists_none():
    assert documents.DocumentCodec().decode_vm(make_item("hollyring/vm/vm-3", VM)) is None


def test_vms_are_listed_beside_an_odd_record_among_theirs(vm, log_messages):
    apply_bytes(vm, KEYS.vms, "hollyring/vm/odd", odd_values.put(VM, ("unknown",), DEEP))
    for name in ("vm-2", "vm-3"):
        apply_bytes(vm, KEYS.vms, f"hollyring/vm/{name}", json.dumps(VM | {"name": name}).encode())
    assert sorted(vm.state.peers.by_name) == ["vm-2", "vm-3"]
    assert sum("unreadable VM" in message.get("text", "") for message in log_messages) == 1


def test_odd_record_of_software_versions_leaves_the_list_of_vms_in_use(vm):
    apply_bytes(vm, KEYS.vms, KEYS.software, odd_values.put(SOFTWARE, ("unknown",), DEEP))
    apply_bytes(vm, KEYS.vms, "hollyring/vm/vm-2", json.dumps(VM).encode())
    assert list(vm.state.peers.by_name) == ["vm-2"]


@pytest.mark.parametrize("key", ["op/version/m", "op/unknown", "op/version/"])
@pytest.mark.parametrize("value", odd_values.VALUES)
def test_configuration_stays_in_force_beside_an_odd_document(vm, key, value):
    for path in [(), ("unknown",), ("version",)]:
        apply_bytes(vm, KEYS.operator, key, odd_values.put(WANTED, path, odd_values.VALUES[value]))
    assert vm.state.deployment is not None


@pytest.mark.parametrize("value", ["deep lists", "deep objects", "no UTF-8", "negative"])
def test_upstream_whose_entry_became_odd_gets_no_requests_until_it_is_sound_again(
    vm, value, log_messages
):
    vm.apply_change(KEYS.upstreams, "servers/i-2", test_state.ENTRY, now=1.0)
    data = odd_values.put(test_state.ENTRY, ("slots",), odd_values.VALUES[value])
    apply_bytes(vm, KEYS.upstreams, "servers/i-1", data)
    assert list(vm.state.registry.upstreams) == ["i-2"]
    assert sum("unreadable upstream" in each.get("text", "") for each in log_messages) == 1
    vm.apply_change(KEYS.upstreams, "servers/i-1", test_state.ENTRY, now=3.0)
    assert sorted(vm.state.registry.upstreams) == ["i-1", "i-2"]


@pytest.mark.parametrize("value", ["1e308", "10^30", "2^64", "2^63"])
def test_huge_numbers_of_a_configuration_can_be_reckoned_with(value):
    codec = documents.DocumentCodec()
    for path in odd_values.paths(test_codec.CONFIG):
        data = odd_values.put(test_codec.CONFIG, path, odd_values.VALUES[value])
        decoded = codec.decode_deployment(make_item("op/config", data))
        if decoded is None:
            continue
        vm = test_state.StateVm()
        vm.state.configure(decoded, 1.0)
        vm.state.tick(1.1)
        for service in decoded.services.values():
            assert vm.state.max_connections(service) > 0
        for organisation in decoded.organisations.values():
            vm.state.admit(organisation, None, 1.2)
        for _, usage in vm.state._rates.reports(1.3):
            assert math.isfinite(usage.total)


@pytest.mark.parametrize(
    "value",
    [b"[" * LONG, b'"' + b"x" * LONG + b'"', b"[" + b"1," * LONG],
    ids=["nested", "text", "list"],
)
@pytest.mark.parametrize("prefix", [KEYS.upstreams, KEYS.vms])
def test_hundreds_of_long_entries_do_not_hold_up_the_event_loop(vm, prefix, value):
    document = VM if prefix == KEYS.vms else test_state.ENTRY
    data = odd_values.put(document, ("unknown",), value)
    items = [make_item(f"{prefix}odd-{number}", data, number + 10) for number in range(500)]
    changed = vm.state.mirrors[prefix].apply_changes(items, items[-1].revision)
    started_at = time.thread_time()
    vm.state.apply_store_changes(prefix, changed, 2.0)
    assert time.thread_time() - started_at < MAX_HELD_UP_SECONDS
    assert list(vm.state.registry.upstreams) == ["i-1"]
