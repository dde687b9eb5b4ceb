"""Tests of a VM's state with the platform's documents and heartbeats of other VMs."""

import json

import pytest

from hollyring.configuration import mirror, store_revision
from hollyring.limits import service_retry_budgets
from hollyring.membership import heartbeat
from hollyring.node import clock, state, upstream_changes
from hollyring.platform import documents

STORE_KEYS = documents.STORE_KEYS
ORDER_LEASE = heartbeat.OrderLeaseStatus(False, -1.0, [])
CONFIG = {
    "version": 3,
    "routes": [],
    "services": [
        {
            "name": "ls",
            "engine": {"slots": 8, "kv_capacity": 1000, "kv_token_bytes": 8, "link_mbps": 10},
        }
    ],
    "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": 10, "burst": 10}],
}
ENTRY = {
    "service": "ls",
    "address": "1.2.3.4:5",
    "zone": "dar-a",
    "version": "v1",
    "state": "ready",
    "slots": 8,
    "models": [{"name": "m", "version": 1}],
}


def make_vm_info(name="vm-2", life=1):
    return heartbeat.VmInfo(name, life, f"{name}:1", f"{name}:2", "dar-a", "dar")


def make_heartbeat(name="vm-2", **fields):
    defaults = {
        "revisions": [],
        "wanted_versions": [],
        "loads": [],
        "usage": [],
        "cached_prompts": [],
        "cache_reports": [],
    }
    defaults |= {
        "weights": [],
        "unresponsive_upstreams": [],
        "order_lease": ORDER_LEASE,
        "ready": True,
        "store_reached": True,
    }
    return heartbeat.Heartbeat(vm=make_vm_info(name), **(defaults | fields))


class StateVm:
    """A VM of which only the state exists, with the revision of the latest store change."""

    def __init__(self):
        self.state = state.State(
            make_vm_info("vm-1"),
            documents.DocumentCodec(),
            STORE_KEYS,
            service_retry_budgets.RetryRules(0.2, 50.0, 10.0),
            13.5,
        )
        self.revision = 0

    def apply_change(self, prefix, key, value, now=None):
        """Apply a change received from the store."""
        self.revision += 1
        revision = store_revision.Revision(0, self.revision)
        if value is None:
            change = mirror.Removal(key, revision)
        else:
            change = mirror.Item(key, json.dumps(value).encode(), revision)
        target = self.state.mirrors[prefix]
        changed = target.apply_changes([change], revision)
        self.state.apply_store_changes(prefix, changed, clock.now() if now is None else now)

    def apply_copy_of_store(self, prefix, documents_by_key, era, now=None):
        """Apply the list of a store that returned from an older copy, with low revisions."""
        items = [
            mirror.Item(key, json.dumps(value).encode(), store_revision.Revision(era, 1))
            for key, value in documents_by_key.items()
        ]
        changed = self.state.mirrors[prefix].apply_list(items, store_revision.Revision(era, 1))
        self.state.apply_store_changes(prefix, changed, clock.now() if now is None else now)

    def apply_change_in_era(self, prefix, key, value, era, number, now):
        revision = store_revision.Revision(era, number)
        change = mirror.Item(key, json.dumps(value).encode(), revision)
        changed = self.state.mirrors[prefix].apply_changes([change], revision)
        self.state.apply_store_changes(prefix, changed, now)


@pytest.fixture
def vm():
    state_vm = StateVm()
    state_vm.apply_change(STORE_KEYS.operator, "op/config", CONFIG)
    state_vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY)
    return state_vm


def test_vm_is_ready_with_a_configuration_and_upstreams(vm):
    assert vm.state.ready
    assert not StateVm().state.ready


def test_older_configuration_does_not_replace_a_newer_one(vm):
    vm.apply_change(STORE_KEYS.operator, "op/config", CONFIG | {"version": 2, "tenants": []})
    assert vm.state.deployment.version == 3
    assert vm.state.deployment.organisation_for_key("k") is not None


def test_malformed_configuration_is_ignored(vm):
    vm.apply_change(STORE_KEYS.operator, "op/config", {"version": "x"})
    assert vm.state.configuration_version == 3


def test_draining_upstream_is_marked_as_leaving(vm):
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"state": "draining"})
    assert vm.state.registry.get("i-1").entry.leaving


def test_removed_upstream_is_dropped_immediately_while_the_store_is_reachable(vm):
    vm.state.store_reached_at = clock.now()
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", None)
    assert vm.state.registry.get("i-1") is None


@pytest.mark.parametrize("source", ["own call", "other VMs"])
def test_upstream_that_expired_during_a_store_outage_is_kept_for_its_ttl(vm, source):
    now = clock.now()
    for at in (now - 1.0, now - 0.4):
        if source == "own call":
            vm.state.store_failed_at = at
        else:
            for name in ("vm-2", "vm-3"):
                vm.state.receive(make_heartbeat(name, store_reached=False), at)
        vm.state.tick(at)
    vm.state.store_reached_at = now
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", None, now)
    vm.state.tick(now + 1.0)
    assert vm.state.registry.get("i-1") is not None
    vm.state.tick(now + state.MISSING_UPSTREAM_TTL_SECONDS + 0.1)
    assert vm.state.registry.get("i-1") is None


def test_expired_upstream_that_registers_again_stays(vm):
    now = clock.now()
    vm.state.store_failed_at = now - 1.0
    vm.state.store_reached_at = now
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", None, now)
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY, now + 1.0)
    vm.state.tick(now + 5.0)
    assert vm.state.registry.get("i-1") is not None


def test_restarted_vm_does_not_date_an_existing_wanted_version_as_new():
    """A VM restarted 14 s after a version became wanted used the old weights for 15 s more."""
    started = StateVm()
    wanted = {"model": "m", "version": 2}
    started.apply_change(STORE_KEYS.operator, "op/version/m", wanted, now=100.0)
    assert started.state.wanted_versions.newest("m").since < 100.0
    started.apply_change(STORE_KEYS.operator, "op/version/m", wanted | {"version": 3}, now=110.0)
    assert started.state.wanted_versions.newest("m").since == 110.0


def test_age_of_a_wanted_version_is_received_from_other_vms(vm):
    vm.apply_change(STORE_KEYS.operator, "op/version/m", {"model": "m", "version": 2}, now=100.0)
    vm.state.receive(
        make_heartbeat(wanted_versions=[heartbeat.WantedVersionAge("m", 2, 9.0)]), 101.0
    )
    assert vm.state.wanted_versions.newest("m").since == 92.0


def test_weights_reported_by_the_order_lease_holder_are_recorded(vm):
    vm.state.prefix_caches.set("i-1", 1000, "m.1", "p", 10)
    vm.state.receive(
        make_heartbeat(weights=[heartbeat.UpstreamWeights("i-1", "m", 2, False)]), clock.now()
    )
    assert vm.state.registry.get("i-1").version("m") == 2
    assert vm.state.prefix_caches.dump() == {}


def test_load_of_other_vms_is_added_and_removed(vm):
    now = clock.now()
    vm.state.receive(make_heartbeat(loads=[heartbeat.UpstreamLoad("i-1", 4, 1, 900, 50)]), now)
    upstream = vm.state.registry.get("i-1")
    assert (upstream.requests(now), upstream.queued_prefill_tokens(now)) == (4, 900)
    vm.state.receive(make_heartbeat(), now + 0.1)
    assert upstream.requests(now + 0.1) == 0


def test_suspicion_of_another_vm_is_ignored_after_recent_activity(vm):
    now = clock.now()
    upstream = vm.state.registry.get("i-1")
    upstream.record_activity(now - 0.1)
    vm.state.receive(make_heartbeat(unresponsive_upstreams=["i-1"]), now)
    assert not upstream.is_suspect(now)
    vm.state.receive(make_heartbeat(unresponsive_upstreams=["i-1"]), now + 2.0)
    assert upstream.is_suspect(now + 2.1)


def test_usage_at_other_vms_counts_against_the_rate(vm):
    now = clock.now()
    organisation = vm.state.deployment.organisations["t"]
    vm.state.receive(make_heartbeat(usage=[heartbeat.OrganisationUsage("t", 30.0, 30.0)]), now)
    assert vm.state.admit(organisation, None, now) is None
    usage = [heartbeat.OrganisationUsage("t", 90.0, 90.0)]
    vm.state.receive(make_heartbeat(usage=usage), now)
    assert vm.state.admit(organisation, None, now).used == 91.0


def test_new_incarnation_of_an_upstream_has_an_empty_prefix_cache(vm):
    vm.state.prefix_caches.set("i-1", 1000, "m.1", "p", 10)
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"born": 5})
    assert vm.state.prefix_caches.dump() == {}


def test_upstream_that_another_vm_reported_as_leaving_stays_so_whatever_its_entry_says(vm):
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"born": 5})
    vm.state.receive(make_heartbeat(departures=[heartbeat.Departure("i-1", 5)]), clock.now())
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"born": 5, "sequence": 9})
    assert vm.state.registry.get("i-1").leaving
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"born": 6})
    assert not vm.state.registry.get("i-1").leaving


def test_departure_is_reported_until_the_entry_is_removed_and_then_forgotten(vm):
    vm.state.record_answered_departure(vm.state.registry.get("i-1"))
    assert vm.state.announced_departures() == [heartbeat.Departure("i-1", 0)]
    vm.state.store_reached_at = clock.now()
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", None)
    assert vm.state.announced_departures() == []
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY)
    assert not vm.state.registry.get("i-1").leaving


def test_older_copy_of_the_store_does_not_bring_back_keys_that_were_taken_away(vm):
    revoked = CONFIG | {"version": 4, "tenants": [CONFIG["tenants"][0] | {"api_keys": ["k2"]}]}
    vm.apply_change(STORE_KEYS.operator, "op/config", revoked)
    vm.apply_copy_of_store(STORE_KEYS.operator, {"op/config": CONFIG}, era=1)
    assert vm.state.configuration_version == 4
    assert vm.state.deployment.organisation_for_key("k") is None
    newest = revoked | {"version": 5}
    vm.apply_change_in_era(STORE_KEYS.operator, "op/config", newest, 1, 2, clock.now())
    assert vm.state.configuration_version == 5


def test_wanted_version_does_not_step_back_to_an_older_copy_of_the_store(vm):
    key = "op/version/m"
    vm.apply_change(STORE_KEYS.operator, key, {"model": "m", "version": 3})
    older = {"op/config": CONFIG, key: {"model": "m", "version": 2}}
    vm.apply_copy_of_store(STORE_KEYS.operator, older, era=1)
    assert vm.state.latest_wanted["m"].version == 3
    assert [version for _, version in vm.state.wanted_versions.all_versions()][-1].version == 3


def test_upstream_missing_from_an_older_copy_of_the_store_is_kept_for_its_ttl(vm):
    now = clock.now()
    vm.state.store_reached_at = now
    vm.state.store_era.observe(1, "store")
    vm.state.store_era.observe(2, "store")
    vm.apply_copy_of_store(STORE_KEYS.upstreams, {}, era=2, now=now)
    vm.state.tick(now + 2.0)
    assert vm.state.registry.get("i-1") is not None
    vm.state.tick(now + state.RESTORED_UPSTREAM_TTL_SECONDS + 0.1)
    assert vm.state.registry.get("i-1") is None


def test_leaving_upstream_does_not_turn_ready_through_an_older_copy_of_the_store(vm):
    now = clock.now()
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"state": "draining"})
    vm.apply_copy_of_store(STORE_KEYS.upstreams, {"servers/i-1": ENTRY}, era=1, now=now)
    assert vm.state.registry.get("i-1").entry.leaving
    restarted = ENTRY | {"born": 7}
    vm.apply_change_in_era(STORE_KEYS.upstreams, "servers/i-1", restarted, 1, 2, now)
    assert not vm.state.registry.get("i-1").entry.leaving


def test_older_copy_of_the_store_does_not_bring_back_an_earlier_start_of_an_upstream(vm):
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", ENTRY | {"born": 7})
    vm.apply_copy_of_store(STORE_KEYS.upstreams, {"servers/i-1": ENTRY | {"born": 3}}, era=1)
    assert vm.state.registry.get("i-1").entry.life == 7


def test_removed_upstream_in_an_older_copy_of_the_store_gets_no_requests_at_first(vm):
    """Its entry expires again unless the upstream is alive."""
    now = clock.now()
    vm.state.store_reached_at = now
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", None, now)
    vm.apply_copy_of_store(STORE_KEYS.upstreams, {"servers/i-1": ENTRY}, era=1, now=now)
    assert vm.state.registry.get("i-1").entry.leaving
    vm.state.tick(now + upstream_changes.RETURNED_ENTRY_HOLD_SECONDS + 0.1)
    assert not vm.state.registry.get("i-1").entry.leaving


def test_removed_upstream_that_writes_again_after_an_older_copy_is_used_at_once(vm):
    now = clock.now()
    vm.state.store_reached_at = now
    vm.apply_change(STORE_KEYS.upstreams, "servers/i-1", None, now)
    vm.apply_copy_of_store(STORE_KEYS.upstreams, {"servers/i-1": ENTRY}, era=1, now=now)
    vm.apply_change_in_era(STORE_KEYS.upstreams, "servers/i-1", ENTRY, 1, 2, now)
    assert not vm.state.registry.get("i-1").entry.leaving
