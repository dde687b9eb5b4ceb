import pytest

from hollyring.core import execution, identities, invariants
from hollyring.limits import holders, limiter, messages, settings

START = settings.HOLD_SECONDS
LIMIT = holders.Limit("shop", 300, 900)


def roster(vms=3, revision=1, **other):
    slots = tuple(holders.Slot(f"s{i}", f"vm-{i}", f"fd-{i}") for i in range(vms))
    return holders.Roster(revision, slots, **{"settled": revision, **other})


def start_limiter(name, number=1, now=0.0, members=None, limit=LIMIT):
    state = limiter.Limiter(identities.Incarnation(name, number), invariants.Invariants())
    state.configure(limiter.Update(members or roster(), (limit,)), now)
    return state


@pytest.fixture
def fleet():
    states = {f"vm-{i}": start_limiter(f"vm-{i}") for i in range(3)}
    for state in states.values():
        state.tick(START)
    return states


def deliver(fleet, sender, effects, now):
    """Deliver messages until none is left and return all decisions."""
    decisions = list(effects.decisions)
    for outgoing in effects.messages:
        if outgoing.receiver in fleet:
            answer = fleet[outgoing.receiver].receive(sender, outgoing.message, now)
            decisions += deliver(fleet, outgoing.receiver, answer, now)
    return decisions


def run_for(fleet, now, seconds):
    """Tick every 100 ms and return the time after `seconds`."""
    for _ in range(round(seconds * 10)):
        now += 0.1
        for vm, state in fleet.items():
            deliver(fleet, vm, state.tick(now), now)
    return now


def admit(fleet, vm, tokens, now, request="r"):
    for state in fleet.values():
        state.tick(now)
    return deliver(fleet, vm, fleet[vm].admit("shop", tokens, request, now), now)


def admitted(decisions):
    return [d for d in decisions if isinstance(d, messages.Admitted)]


@pytest.mark.parametrize("vm", ["vm-0", "vm-1", "vm-2"])
def test_one_vm_can_spend_the_whole_burst(fleet, vm):
    assert admit(fleet, vm, 900, START + 4) == [messages.Admitted("r", "shop", 900)]
    (refused,) = admit(fleet, vm, 300, START + 4, "s")
    assert refused.code == "rate_limited"
    assert refused.execution is execution.Execution.NOT_RUN
    assert refused.retry_after == pytest.approx(1.0, abs=0.1)
    assert isinstance(admit(fleet, "vm-0", 290, START + 5, "t")[0], messages.Admitted)


def test_restarted_vm_has_no_tokens_when_its_share_starts(fleet):
    """The other two VMs can lend 600 tokens, so 601 require one of the restarted VM."""
    fleet["vm-1"] = start_limiter("vm-1", 2, now=100.0)
    assert not admitted(admit(fleet, "vm-1", 601, 100.0 + START))


def test_share_of_restarted_vm_starts_empty(fleet):
    """Right after the restart, only the 600 tokens of the other two VMs are available."""
    fleet["vm-1"] = start_limiter("vm-1", 2, now=100.0)
    assert not admitted(admit(fleet, "vm-1", 601, 100.0))
    fleet["vm-1"].cancel("shop", "r", 100.0)
    assert isinstance(admit(fleet, "vm-1", 600, 100.0, "s")[0], messages.Admitted)


def test_cost_above_burst_is_refused_at_once(fleet):
    (refused,) = fleet["vm-0"].admit("shop", 901, "r", START).decisions
    assert (refused.code, refused.retry_after) == ("request_exceeds_burst", 0.0)


def test_duplicate_return_credits_unused_tokens_once(fleet):
    admit(fleet, "vm-0", 900, START + 4)
    effects = fleet["vm-0"].settle("r", 100, START + 4)
    for _ in range(2):
        deliver(fleet, "vm-0", effects, START + 4)
    assert isinstance(admit(fleet, "vm-1", 800, START + 4, "s")[0], messages.Admitted)
    assert not admitted(admit(fleet, "vm-2", 1, START + 4, "t"))


def test_duplicate_borrow_request_debits_once(fleet):
    request = messages.Ask("shop", 1, 7, 200)
    first, second = (fleet["vm-0"].receive("vm-1", request, START + 4) for _ in range(2))
    assert first == second
    assert first.messages[0].message.left == 100


def test_grant_received_after_the_loan_expires_is_not_spent(fleet):
    requests = fleet["vm-0"].admit("shop", 600, "r", START + 4).messages
    late = START + 4 + settings.LOAN_SECONDS
    for outgoing in requests:
        answer = fleet[outgoing.receiver].receive("vm-0", outgoing.message, START + 4)
        effects = fleet["vm-0"].receive(outgoing.receiver, answer.messages[0].message, late)
        assert not admitted(effects.decisions)
    assert fleet["vm-0"].dump()["admitted"] == 0


def test_request_is_refused_when_holders_do_not_answer(fleet):
    """The second holder is asked when the first has timed out; its timeout ends the wait."""
    del fleet["vm-1"], fleet["vm-2"]
    assert admit(fleet, "vm-0", 400, START + 4) == []
    assert fleet["vm-0"].tick(START + 4 + 1.1 * settings.BORROW_TIMEOUT_SECONDS).decisions == []
    effects = fleet["vm-0"].tick(START + 4 + 2.3 * settings.BORROW_TIMEOUT_SECONDS)
    assert [decision.code for decision in effects.decisions] == ["rate_limited"]


def test_shares_grow_only_after_the_removed_vm_is_destroyed(fleet):
    """Before that the shares of vm-0 and vm-1 are 300 tokens each, so 601 are too many."""
    slots = tuple(holders.Slot(f"s{i}", f"vm-{i}", f"fd-{i}") for i in range(2))
    changed = holders.Roster(2, slots, ("vm-2",), settled=1)
    now = 20.0
    del fleet["vm-2"]
    for state in fleet.values():
        state.configure(limiter.Update(changed), now)
    now = run_for(fleet, now, 6.0)
    assert not admitted(admit(fleet, "vm-0", 601, now))
    fleet["vm-0"].cancel("shop", "r", now)
    for state in fleet.values():
        state.mark_destroyed({"vm-2"})
    now = run_for(fleet, now, 6.0)
    assert admitted(admit(fleet, "vm-0", 900, now, "s"))


def test_share_of_new_vm_grows_only_after_the_replaced_vm_applies_the_roster(fleet):
    """Before that vm-0 and vm-1 have 300 tokens each and vm-9 has none, so 601 are too many."""
    slots = tuple(
        holders.Slot(f"s{i}", name, f"fd-{i}") for i, name in enumerate(["vm-0", "vm-1", "vm-9"])
    )
    changed = holders.Roster(2, slots, ("vm-2",), settled=1)
    now = 20.0
    fleet["vm-9"] = start_limiter("vm-9", now=now, members=changed)
    for vm in ["vm-0", "vm-1"]:
        fleet[vm].configure(limiter.Update(changed), now)
    partitioned = fleet.pop("vm-2")
    now = run_for(fleet, now, 6.0)
    assert not admitted(admit(fleet, "vm-9", 601, now))
    partitioned.configure(limiter.Update(changed), now)
    fleet["vm-2"] = partitioned
    now = run_for(fleet, now, 6.0)
    assert fleet["vm-9"].dump()["settled"] == 2
    assert isinstance(admit(fleet, "vm-9", 700, now, "s")[0], messages.Admitted)
