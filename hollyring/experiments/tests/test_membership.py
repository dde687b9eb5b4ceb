import msgspec
import pytest
from click import testing

from hollyring.experiments import lease_simulation, membership, membership_simulation
from hollyring.membership import messages


@pytest.mark.parametrize("seed, vms, regions", [(1, 9, 1), (2, 9, 1), (3, 3, 1), (4, 12, 3)])
def test_random_runs_end_in_agreement(seed, vms, regions):
    report = membership.run(seed, vms, 6_000, regions)
    assert report.faults > 20 and report.disagreements == []
    assert report.promises["woken_vm_doubts"]["checks"] > 0


@pytest.mark.parametrize("seed", range(5))
def test_a_lease_never_has_two_holders(seed):
    report = lease_simulation.run(seed, 4_000)
    assert report.acquired > 3 and report.held_share > 0.3


def test_command_prints_json():
    arguments = ["--steps", "300", "--vms", "3", "--json"]
    result = testing.CliRunner().invoke(membership.membership, arguments)
    assert result.exit_code == 0, result.output
    assert msgspec.json.decode(result.output)["membership"]["disagreements"] == []


@pytest.fixture
def quiet():
    """Nine VMs that all know each other."""
    fleet = membership_simulation.Fleet(9, seed=1)
    fleet.settle()
    fleet.run(20.0)
    fleet.changes.clear()
    return fleet


def believed(fleet, vm, status):
    """Tell which VMs believe this of the present life of a VM."""
    profile = fleet.profile(vm)
    found = {number for _, number, change in fleet.changes if change.status is status}
    return {n for n in found if fleet.lives[n].members[profile.name].status is status}


def test_a_healthy_fleet_suspects_nobody(quiet):
    quiet.run(120.0)
    assert quiet.changes == [] and quiet.disagreements() == []


def test_a_crashed_vm_is_found_dead_by_all(quiet):
    quiet.crash(4)
    quiet.run(30.0)
    assert believed(quiet, 4, messages.Status.DEAD) == set(range(9)) - {4}


def test_a_restarted_vm_is_a_new_life_that_comes_back(quiet):
    quiet.crash(4)
    quiet.start(4)
    quiet.run(15.0)
    assert quiet.disagreements() == []
    assert all(
        quiet.lives[n].members["vm-004"].profile.incarnation == 2 for n in range(9) if n != 4
    )


def test_a_vm_replaced_while_it_stood_still_finds_out_and_is_not_trusted(quiet):
    old = quiet.lives[4]
    quiet.crash(4)
    quiet.start(4)
    quiet.run(60.0)
    assert not old.may_act(quiet.now)
    ping = messages.Ping(1, "vm-004", 1, "vm-000", 1, 0, messages.Gossip([], [], []))
    _, ack = [quiet.lives[0].handle(ping, "10.0.1.4:7000", quiet.now)[-1]] * 2
    assert quiet.profile(4) in ack.message.gossip.profiles
    old.handle(ack.message, "10.0.0.0:7000", quiet.now)
    assert old.replaced and not old.may_act(quiet.now)


def test_a_vm_that_stood_still_is_not_trusted_until_a_new_answer(quiet):
    quiet.pause(4, 10.0)
    quiet.run(9.9)
    life = quiet.lives[4]
    assert not life.may_act(quiet.now)
    stale = messages.Ack(life._sequence, "vm-000", 1, 0, messages.Gossip([], [], []))
    life.handle(stale, "10.0.0.0:7000", quiet.now)
    assert not life.may_act(quiet.now)
    quiet.run(60.0)
    assert life.may_act(quiet.now) and quiet.disagreements() == []


def test_a_leaving_vm_is_known_as_leaving_and_not_as_dead(quiet):
    quiet.lives[4].leave()
    quiet.run(10.0)
    assert believed(quiet, 4, messages.Status.LEAVING) == set(range(9)) - {4}
    assert all("vm-004" not in {vm.name for vm in quiet.lives[n].live} for n in range(9))


def test_entries_reach_every_vm_and_the_highest_version_wins(quiet):
    quiet.lives[2].put_entry("revision", 7, b"seven")
    quiet.lives[6].put_entry("revision", 6, b"six")
    quiet.run(15.0)
    assert {life.entries["revision"].value for life in quiet.lives} == {b"seven"}


def test_a_lost_region_link_suspects_nobody_and_heals():
    fleet = membership_simulation.Fleet(12, seed=1, regions=2)
    fleet.settle()
    fleet.conditions.cut.add(frozenset(("region-0", "region-1")))
    fleet.run(300.0)
    assert fleet.changes == []
    assert all(len(life.unreachable_regions(fleet.now)) == 1 for life in fleet.lives)
    before = fleet.messages
    fleet.conditions.cut.clear()
    fleet.run(60.0)
    assert all(life.unreachable_regions(fleet.now) == set() for life in fleet.lives)
    assert fleet.messages - before < 12 * 60 * 5


def test_platform_list_tells_of_destroyed_and_leaving_vms(quiet):
    life = quiet.lives[0]
    everyone = {f"vm-{number:03d}": False for number in range(9)}
    assert life.update_listed({"vm-001": False}, quiet.now) == []
    life.update_listed(everyone | {"vm-005": True}, quiet.now)
    assert "vm-005" not in {vm.name for vm in life.live}
    del everyone["vm-006"]
    (change,) = life.update_listed(everyone, quiet.now)
    assert change.profile.name == "vm-006" and change.status is messages.Status.DEAD
