"""Wrongful refusals and excess admissions by fault, at a constant load."""

from __future__ import annotations

import dataclasses
import datetime
import json
import pathlib
import random

import click

from hollyring.experiments import limits_simulation
from hollyring.limits import holders, messages
from hollyring.limits import limiter as limiters

ORGANISATION = "parish-1"
RATE = 30_000
BURST = 90_000
WARMUP_SECONDS = 15.0
RUN_SECONDS = 60.0
REQUEST_TOKENS = (200, 3800)
FAULT_START_SECONDS = 10.0
FAULT_SECONDS = 10.0

SPREADS = ("one", "three", "all")
FAULTS = (
    "none",
    "moves every second",
    "2% lost and doubled",
    "store out",
    "holder dies",
    "holder dies, store out",
    "holder paused",
    "partition",
    "herd",
    "herd, store out",
)
"""Faults.

"moves every second" sends the requests to other VMs every second, "store out" makes the store
unavailable, and "herd" restarts all VMs at once, or all but one during an outage of the store.
"""


@dataclasses.dataclass(slots=True)
class Row:
    """Outcome of one limiting algorithm under one fault.

    Parameters
    ----------
    way
        Limiting algorithm.
    fault
        One of `FAULTS`.
    spread
        Number of VMs that receive requests, one of `SPREADS`.
    load
        Traffic as a fraction of the rate.
    offered, admitted
        Number of submitted and of admitted requests.
    wrongly_refused
        Number of refused requests for which a single ideal bucket had enough tokens.
    unanswered
        Number of requests without a decision.
    excess
        Most tokens by which a window exceeded the bound.
    messages
        Number of messages sent.
    """

    way: str
    fault: str
    spread: str
    load: float
    offered: int = 0
    admitted: int = 0
    wrongly_refused: int = 0
    unanswered: int = 0
    excess: float = 0.0
    messages: int = 0

    def add(self, other: Row) -> None:
        """Add the outcome of a run with another seed."""
        self.offered += other.offered
        self.admitted += other.admitted
        self.wrongly_refused += other.wrongly_refused
        self.unanswered += other.unanswered
        self.messages += other.messages
        self.excess = max(self.excess, other.excess)


class IdealBucket:
    """A single token bucket shared by all VMs without delay: the reference for refusals."""

    def __init__(self) -> None:
        self._tokens = float(BURST)
        self._updated_at = 0.0

    def take(self, tokens: int, now: float) -> bool:
        """Take `tokens` if they are available; return whether they were."""
        self._tokens = min(float(BURST), self._tokens + (now - self._updated_at) * RATE)
        self._updated_at = now
        if tokens > self._tokens:
            return False
        self._tokens -= tokens
        return True


class Scenario:
    """Open-loop traffic of one organisation, and one fault.

    The fault begins `FAULT_START_SECONDS` after the start of the traffic and lasts for
    `FAULT_SECONDS`, with these exceptions: lost messages and moving requests last for the whole
    run, and a store outage in combination with another fault does not end. The VM that crashes or
    pauses is the last holder of the organisation, chosen to be one that receives no requests, if
    possible.
    """

    def __init__(
        self,
        limiter_factory: limits_simulation.LimiterFactory,
        row: Row,
        seed: int,
        vm_count: int = 9,
    ) -> None:
        self._rng = random.Random(seed)
        self._row = row
        loss_rate = 0.02 if row.fault.startswith("2%") else 0.0
        limit = holders.Limit(ORGANISATION, RATE, BURST)
        self.simulation = limits_simulation.Simulation(
            self._rng, vm_count, [limit], limiter_factory, loss_rate
        )
        self._ideal_bucket = IdealBucket()
        self._conforming: set[str] = set()
        self._vm_count = vm_count
        self._fault_injected = False
        self._fault_removed = False

    def run(self) -> Row:
        """Run the scenario and return the outcome."""
        simulation, row = self.simulation, self._row
        simulation.run_until(WARMUP_SECONDS)
        mean_tokens = sum(REQUEST_TOKENS) / 2
        end = simulation.now + RUN_SECONDS
        while simulation.now < end:
            simulation.run_until(
                simulation.now + self._rng.expovariate(RATE * row.load / mean_tokens)
            )
            self._update_fault(simulation.now - WARMUP_SECONDS)
            self._request()
        simulation.run_until(end + 2)
        refused = {refusal.request_id for refusal in simulation.refusals}
        row.wrongly_refused = len(refused & self._conforming)
        row.admitted = sum(
            isinstance(d, messages.Admitted) for d in simulation.request_decisions.values()
        )
        row.unanswered = row.offered - len(simulation.request_decisions)
        row.excess = max(checker.excess() for checker in simulation.checkers.values())
        row.messages = simulation.messages_sent
        return row

    def _request(self) -> None:
        tokens = self._rng.randint(*REQUEST_TOKENS)
        shift = int(self.simulation.now) if self._row.fault.startswith("moves") else 0
        client_vms = {"one": 1, "three": 3, "all": self._vm_count}[self._row.spread]
        index = (self._rng.randrange(client_vms) + shift) % self._vm_count
        vm = self.simulation.vms[f"vm-{index}"]
        if not vm.alive or vm.paused_until > self.simulation.now:
            return
        self._row.offered += 1
        conforming = self._ideal_bucket.take(tokens, self.simulation.now)
        request_id = self.simulation.submit(vm, ORGANISATION, tokens)
        if conforming:
            self._conforming.add(request_id)

    def _update_fault(self, at: float) -> None:
        if not self._fault_injected and at >= FAULT_START_SECONDS:
            self._fault_injected = True
            self._inject_fault()
        if not self._fault_removed and at >= FAULT_START_SECONDS + FAULT_SECONDS:
            self._fault_removed = True
            self._remove_fault()

    def _vm_to_fail(self) -> limits_simulation.VM:
        """Return the last VM that holds a share of the organisation, or ``vm-0`` if none does."""
        holder_names = self.simulation.vms[f"vm-{self._vm_count - 1}"].limiter.holders_of(
            ORGANISATION
        )
        return (
            self.simulation.vms[holder_names[-1]] if holder_names else self.simulation.vms["vm-0"]
        )

    def _inject_fault(self) -> None:
        simulation, fault = self.simulation, self._row.fault
        if "store out" in fault:
            simulation.store_up = False
        if fault.startswith("holder dies"):
            simulation.crash(self._vm_to_fail())
        if fault == "holder paused":
            self._vm_to_fail().paused_until = simulation.now + FAULT_SECONDS
        if fault == "partition":
            names = sorted(simulation.vms)
            simulation.blocked_links = {frozenset((a, b)) for a in names[:3] for b in names[3:]}
        if fault.startswith("herd"):
            for vm in simulation.alive[:-1] if "store" in fault else simulation.alive:
                simulation.crash(vm)
                simulation.start(vm.name, 2)

    def _remove_fault(self) -> None:
        self.simulation.blocked_links = set()
        for vm in list(self.simulation.vms.values()):
            if not vm.alive:
                self.simulation.start(vm.name, 3)
        if self._row.fault == "store out":
            self.simulation.store_up = True


def measure(fault: str, spread: str, load: float, seeds: int = 3) -> Row:
    """Return the sum of the outcomes of `seeds` runs with one fault and one spread."""
    total = Row("escrow", fault, spread, load)
    for seed in range(seeds):
        row = Row("escrow", fault, spread, load)
        total.add(Scenario(limiters.Limiter, row, seed).run())
    return total


@click.command("limits-faults")
@click.option("--load", default=0.8, show_default=True, help="Traffic as a fraction of the rate.")
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
def command(load: float, output: pathlib.Path | None) -> None:
    """Measure wrongful refusals and excess admissions by fault.

    Example: hollyring experiment limits-faults --load 0.95
    """
    rows = [measure(fault, spread, load) for fault in FAULTS for spread in SPREADS]
    report = {
        "command": f"hollyring experiment limits-faults --load {load}",
        "date": datetime.datetime.now(datetime.UTC).date().isoformat(),
        "rows": [dataclasses.asdict(row) for row in rows],
    }
    text = json.dumps(report, indent=2)
    if output is None:
        click.echo(text)
    else:
        output.write_text(text + "\n")
