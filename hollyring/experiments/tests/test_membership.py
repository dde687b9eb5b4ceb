import msgspec
import pytest
from click import testing

from hollyring.experiments import lease_simulation, membership, membership_simulation
from hollyring.membership import messages


@pytest.mark.parametrize("seed, vms, regions", [(1, 9, 1), (2, 9, 1), (3, 3, 1), (4, 12, 3)])
def test_membership_agrees_after_random_faults(seed, vms, regions):
    report = membership.run(seed, vms, 6_000, regions)
    assert report.faults > 20 and report.disagreements == []
    assert report.promises["woken_vm_doubts"]["checks"] > 0


@pytest.mark.parametrize("seed", range(5))
def test_lease_never_has_two_holders(seed):
    report = lease_simulation.run(seed, 4_000)
    assert report.acquired > 3 and report.held_share > 0.3


@pytest.mark.parametrize("seed", range(20))
def test_lease_whose_key_another_writer_puts_has_one_holder_and_finds_the_next(seed):
    report = lease_simulation.run(seed, 4_000, overwrite_probability=0.003)
    assert report.overwritten > 3 and report.acquired > 3 and report.held_share > 0.2


def test_command_prints_json():
    arguments = ["--steps", "300", "--vms", "3", "--json"]
    result = testing.CliRunner().invoke(membership.membership, arguments)
    assert result.exit_code == 0, result.output
    assert msgspec.json.decode(result.output)["membership"]["disagreements"] == []


@pytest.fixture
def fleet():
    """Nine VMs with converged membership."""
    fleet = membership_simulation.Fleet(9, seed=1)
    fleet.converge()
    fleet.run(20.0)
    fleet.status_changes.clear()
    return fleet


def vms_with_status(fleet, vm, status):
    """Return the VMs that list the current incarnation of a VM with this status."""
    profile = fleet.profile(vm)
    found = {number for _, number, change in fleet.status_changes if change.status is status}
    return {n for n in found if fleet.instances[n].members[profile.name].status is status}


def test_healthy_fleet_reports_no_status_change(fleet):
    fleet.run(120.0)
    assert fleet.status_changes == [] and fleet.disagreements() == []


def test_crashed_vm_is_detected_by_every_other_vm(fleet):
    fleet.crash(4)
    fleet.run(30.0)
    assert vms_with_status(fleet, 4, messages.Status.DEAD) == set(range(9)) - {4}


def test_restarted_vm_rejoins_with_a_higher_incarnation(fleet):
    fleet.crash(4)
    fleet.start(4)
    fleet.run(15.0)
    assert fleet.disagreements() == []
    assert all(
        fleet.instances[n].members["vm-004"].profile.incarnation == 2 for n in range(9) if n != 4
    )


def test_paused_vm_that_was_replaced_detects_it_and_may_not_act(fleet):
    old = fleet.instances[4]
    fleet.crash(4)
    fleet.start(4)
    fleet.run(60.0)
    assert not old.may_act(fleet.now)
    ping = messages.Ping(1, "vm-004", 1, "vm-000", 1, 0, messages.Gossip([], [], []))
    _, ack = [fleet.instances[0].handle(ping, "10.0.1.4:7000", fleet.now)[-1]] * 2
    assert fleet.profile(4) in ack.message.gossip.profiles
    old.handle(ack.message, "10.0.0.0:7000", fleet.now)
    assert old.replaced and not old.may_act(fleet.now)


def test_resumed_vm_may_not_act_until_a_fresh_ack(fleet):
    fleet.pause(4, 10.0)
    fleet.run(9.9)
    instance = fleet.instances[4]
    assert not instance.may_act(fleet.now)
    stale = messages.Ack(instance._sequence, "vm-000", 1, 0, messages.Gossip([], [], []))
    instance.handle(stale, "10.0.0.0:7000", fleet.now)
    assert not instance.may_act(fleet.now)
    fleet.run(60.0)
    assert instance.may_act(fleet.now) and fleet.disagreements() == []


def test_leaving_vm_is_not_reported_as_dead(fleet):
    fleet.instances[4].leave()
    fleet.run(10.0)
    assert vms_with_status(fleet, 4, messages.Status.LEAVING) == set(range(9)) - {4}
    assert all("vm-004" not in {vm.name for vm in fleet.instances[n].live} for n in range(9))


def test_entries_reach_every_vm_and_the_highest_version_wins(fleet):
    fleet.instances[2].put_entry("revision", 7, b"seven")
    fleet.instances[6].put_entry("revision", 6, b"six")
    fleet.run(15.0)
    assert {instance.entries["revision"].value for instance in fleet.instances} == {b"seven"}


def test_partition_between_regions_causes_no_suspicion_and_heals():
    fleet = membership_simulation.Fleet(12, seed=1, regions=2)
    fleet.converge()
    fleet.conditions.partitioned.add(frozenset(("region-0", "region-1")))
    fleet.run(300.0)
    assert fleet.status_changes == []
    assert all(len(instance.unreachable_regions(fleet.now)) == 1 for instance in fleet.instances)
    before = fleet.messages
    fleet.conditions.partitioned.clear()
    fleet.run(60.0)
    assert all(instance.unreachable_regions(fleet.now) == set() for instance in fleet.instances)
    assert fleet.messages - before < 12 * 60 * 5


def test_platform_list_reports_destroyed_and_leaving_vms(fleet):
    instance = fleet.instances[0]
    everyone = {f"vm-{number:03d}": False for number in range(9)}
    assert instance.update_listed({"vm-001": False}, fleet.now) == []
    instance.update_listed(everyone | {"vm-005": True}, fleet.now)
    assert "vm-005" not in {vm.name for vm in instance.live}
    del everyone["vm-006"]
    (change,) = instance.update_listed(everyone, fleet.now)
    assert change.profile.name == "vm-006" and change.status is messages.Status.DEAD
