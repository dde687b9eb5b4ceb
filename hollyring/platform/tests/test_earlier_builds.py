"""Values in the store that VMs of build 282d1af wrote, and that its VMs read."""

import dataclasses

import pytest

from hollyring.configuration import mirror, store_revision
from hollyring.membership import heartbeat
from hollyring.platform import documents
from hollyring.routing import software_versions

VM = heartbeat.VmInfo("vm-1", 7, "10.0.0.1:80", "10.0.0.1:90", "dar-a", "dar", 2.0)


@pytest.mark.parametrize("era", [0, 2])
def test_stored_values_of_an_earlier_build_are_read_and_written_alike(era):
    codec = documents.DocumentCodec()
    software = b'{"era":%d,"versions":{"s":["v1","v2"]}}' % era
    vm = (
        b'{"name":"vm-1","life":7,"caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:90",'
        b'"failure_domain":"dar-a","region":"dar","capacity":2.0}'
    )
    item = mirror.Item(documents.STORE_KEYS.software, software, store_revision.NONE)
    vm_item = mirror.Item(documents.STORE_KEYS.vms + VM.name, vm, store_revision.NONE)
    record = software_versions.Record(era, {"s": frozenset({"v1", "v2"})})
    assert codec.decode_software(item) == record
    assert codec.encode_software(record) == software
    assert codec.decode_vm(vm_item) == VM
    assert codec.encode_vm(VM) == vm


def test_what_a_vm_states_of_software_versions_is_added_behind_the_fields_of_an_earlier_build():
    codec = documents.DocumentCodec()
    stating = dataclasses.replace(VM, settles_versions=True)
    stored = codec.encode_vm(stating)
    assert stored == codec.encode_vm(VM)[:-1] + b',"settles_versions":true}'
    item = mirror.Item(documents.STORE_KEYS.vms + VM.name, stored, store_revision.NONE)
    assert codec.decode_vm(item) == stating


def test_link_that_a_vm_states_is_added_behind_the_fields_of_an_earlier_build():
    codec = documents.DocumentCodec()
    stating = dataclasses.replace(VM, link_bits_per_second=1e7)
    stored = codec.encode_vm(stating)
    assert stored == codec.encode_vm(VM)[:-1] + b',"link_bits_per_second":10000000.0}'
    item = mirror.Item(documents.STORE_KEYS.vms + VM.name, stored, store_revision.NONE)
    assert codec.decode_vm(item) == stating
