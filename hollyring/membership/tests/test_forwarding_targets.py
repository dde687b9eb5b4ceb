"""Which VM executes the requests of one that reaches no upstream."""

import collections

import pytest

from hollyring.membership import forwarding_targets, heartbeat, peer_table

NOW = 10.0
NOT_HELD = heartbeat.OrderLeaseStatus(False, -1.0, [])


def vm_info(number, domain, capacity=1.0):
    name = f"vm-{number:03}"
    return heartbeat.VmInfo(name, 1, f"{name}:1", f"{name}:2", domain, "dar", capacity)


def heartbeat_from(vm, ready=True, accepts_forwarded=True, **others):
    return heartbeat.Heartbeat(
        vm,
        ready,
        True,
        *([], [], [], [], [], [], [], []),
        NOT_HELD,
        accepts_forwarded=accepts_forwarded,
        **others,
    )


class Vm:
    """View of the first of some VMs over three failure domains, which hears all others."""

    def __init__(self, count=9, capacities=(1.0,), silent=()):
        vms = [vm_info(n, f"dar-{n % 3}", capacities[n % len(capacities)]) for n in range(count)]
        self.vms = {vm.name: vm for vm in vms}
        self.peers = peer_table.PeerTable(vms[0])
        self.peers.update_listed(vms, 0.0)
        self.peers.update(False, True, 0.0, NOW)
        self.targets = forwarding_targets.ForwardingTargets(self.peers)
        for vm in vms[1:]:
            if vm.name not in silent:
                self.hear(vm.name)

    def hear(self, name, **fields):
        self.peers.receive(heartbeat_from(self.vms[name], **fields), NOW)
        self.peers.update(False, True, 0.0, NOW)

    def choose(self, excluded=(), now=NOW):
        chosen = self.targets.choose("ls", excluded, now)
        return "" if chosen is None else chosen.name

    def choose_slowly(self):
        """Return the VMs that get requests which come one at a time."""
        return {self.choose(now=NOW + 0.01 * n) for n in range(2)}


@pytest.fixture
def vm():
    return Vm()


def test_few_requests_go_to_vms_of_the_same_failure_domain(vm):
    assert vm.choose_slowly() == {"vm-003", "vm-006"}


def test_requests_that_end_quickly_are_spread_over_all_vms_too(vm):
    counts = collections.Counter(vm.choose(now=NOW + n / 50) for n in range(50))
    assert len(counts) == 8
    assert max(counts.values()) <= 2.0 * counts.total() / len(counts)


@pytest.mark.parametrize(
    "fields",
    [
        {"ready": False},
        {"leaving": True},
        {"accepts_forwarded": False},
        {"unreachable_services": ["ls"]},
    ],
)
def test_vm_that_can_not_execute_requests_gets_none(vm, fields):
    vm.hear("vm-003", **fields)
    chosen = {vm.choose() for _ in range(50)}
    assert chosen == set(vm.vms) - {"vm-000", "vm-003"}


def test_vm_that_is_cut_off_from_another_service_gets_requests(vm):
    vm.hear("vm-003", unreachable_services=["hunt"])
    assert vm.choose_slowly() == {"vm-003", "vm-006"}


def test_silent_vm_gets_no_requests():
    vm = Vm(silent=["vm-003"])
    assert {vm.choose() for _ in range(50)} == set(vm.vms) - {"vm-000", "vm-003"}
    assert vm.choose(now=NOW + 2.0) == ""


def test_vm_that_was_asked_already_is_not_asked_again(vm):
    asked = []
    while name := vm.choose(asked):
        asked.append(name)
    assert sorted(asked) == sorted(set(vm.vms) - {"vm-000"})


def test_nothing_is_forwarded_where_all_vms_are_cut_off(vm):
    for name in list(vm.vms)[1:]:
        vm.hear(name, unreachable_services=["ls"])
    assert vm.choose() == ""


@pytest.mark.parametrize("in_progress", [30, 200])
def test_busiest_vm_gets_at_most_twice_the_mean(vm, in_progress):
    counts = collections.Counter()
    for _ in range(in_progress):
        name = vm.choose()
        vm.targets.record_begin(name)
        counts[name] += 1
    assert len(counts) == 8
    assert max(counts.values()) <= 2.0 * in_progress / len(counts)


def test_vms_get_requests_by_their_capacity():
    vm = Vm(capacities=(1.0, 0.5))
    counts = collections.Counter()
    for _ in range(300):
        name = vm.choose()
        vm.targets.record_begin(name)
        counts[name] += 1
    # vm-001 and vm-002 are of other failure domains.
    assert counts["vm-002"] == pytest.approx(2 * counts["vm-001"], rel=0.1)


def test_requests_that_ended_do_not_count(vm):
    for _ in range(20):
        vm.targets.record_begin("vm-003")
    assert "vm-003" not in {vm.choose() for _ in range(10)}
    for _ in range(20):
        vm.targets.record_end("vm-003")
    assert vm.targets.in_progress == 0
    assert vm.choose() == "vm-003"


def test_only_serving_vms_of_a_large_fleet_get_requests():
    vm = Vm(count=195)
    serving = {info.name for info in vm.peers.serving}
    names = set()
    for _ in range(100):
        names.add(vm.choose())
        vm.targets.record_begin(vm.choose())
    assert names <= serving


def test_vm_that_follows_forwards_to_the_vms_that_statuses_name():
    vms = [vm_info(n, f"dar-{n % 3}") for n in range(195)]
    peers = peer_table.PeerTable(vms[0])
    peers.update_listed(vms, 0.0)
    peers.update(False, False, 0.0, NOW)
    follower = next(vm for vm in vms if vm.name not in {s.name for s in peers.serving})
    peers = peer_table.PeerTable(follower)
    peers.update_listed(vms, 0.0)
    peers.update(False, False, 0.0, NOW)
    named = [vm.name for vm in peers.serving[:5]]
    targets = forwarding_targets.ForwardingTargets(peers)
    assert targets.choose("ls", (), NOW) is None
    status = heartbeat.FleetStatus(True, 12, [], [], [], reaching_vms=named)
    peers.receive_status(named[0], status, NOW)
    chosen = set()
    for _ in range(50):
        vm = targets.choose("ls", (), NOW + 1.0)
        targets.record_begin(vm.name)
        chosen.add(vm.name)
    assert chosen == set(named)
    assert targets.choose("ls", (), NOW + peer_table.STATUS_TIMEOUT_SECONDS + 0.1) is None
