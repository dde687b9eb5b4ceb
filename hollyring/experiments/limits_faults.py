"""Wrongful refusals and excess admission by fault, on fixed traffic."""

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
WARM_SECONDS = 15.0
RUN_SECONDS = 60.0
REQUEST_TOKENS = (200, 3800)
FAULT_AT = 10.0
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


@dataclasses.dataclass(slots=True)
class Row:
    """The outcome of one way under one fault."""

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
        """Add the outcome of another seed."""
        self.offered += other.offered
        self.admitted += other.admitted
        self.wrongly_refused += other.wrongly_refused
        self.unanswered += other.unanswered
        self.messages += other.messages
        self.excess = max(self.excess, other.excess)


class Ideal:
    """A single bucket that every VM could see at once: what a request may expect."""

    def __init__(self) -> None:
        self._level = float(BURST)
        self._at = 0.0

    def take(self, tokens: int, now: float) -> bool:
        """Spend `tokens` if they are there."""
        self._level = min(float(BURST), self._level + (now - self._at) * RATE)
        self._at = now
        if tokens > self._level:
            return False
        self._level -= tokens
        return True


class Scenario:
    """One organisation's open-loop traffic and one fault.

    The fault strikes `FAULT_AT` seconds after the start of the traffic and lasts for
    `FAULT_SECONDS`; a VM that takes no requests is chosen to die or pause, if there is one.
    """

    def __init__(self, build: limits_simulation.Build, row: Row, seed: int, vms: int = 9) -> None:
        self._rng = random.Random(seed)
        self._row = row
        loss = 0.02 if row.fault.startswith("2%") else 0.0
        limit = holders.Limit(ORGANISATION, RATE, BURST)
        self.world = limits_simulation.World(self._rng, vms, [limit], build, loss)
        self._ideal = Ideal()
        self._inside: set[str] = set()
        self._vms = vms
        self._struck = False
        self._healed = False

    def run(self) -> Row:
        """Run the traffic and return the outcome."""
        world, row = self.world, self._row
        world.run_until(WARM_SECONDS)
        mean = sum(REQUEST_TOKENS) / 2
        end = world.now + RUN_SECONDS
        while world.now < end:
            world.run_until(world.now + self._rng.expovariate(RATE * row.load / mean))
            self._inject(world.now - WARM_SECONDS)
            self._request()
        world.run_until(end + 2)
        refused = {refusal.request_id for refusal in world.refusals}
        row.wrongly_refused = len(refused & self._inside)
        row.admitted = sum(isinstance(d, messages.Admitted) for d in world.decided.values())
        row.unanswered = row.offered - len(world.decided)
        row.excess = max(judge.excess() for judge in world.judges.values())
        row.messages = world.sent
        return row

    def _request(self) -> None:
        tokens = self._rng.randint(*REQUEST_TOKENS)
        second = int(self.world.now) if self._row.fault.startswith("moves") else 0
        among = {"one": 1, "three": 3, "all": self._vms}[self._row.spread]
        index = (self._rng.randrange(among) + second) % self._vms
        machine = self.world.machines[f"vm-{index}"]
        if not machine.alive or machine.woken_at > self.world.now:
            return
        self._row.offered += 1
        inside = self._ideal.take(tokens, self.world.now)
        request = self.world.submit(machine, ORGANISATION, tokens)
        if inside:
            self._inside.add(request)

    def _inject(self, at: float) -> None:
        if not self._struck and at >= FAULT_AT:
            self._struck = True
            self._strike()
        if not self._healed and at >= FAULT_AT + FAULT_SECONDS:
            self._healed = True
            self._heal()

    def _victim(self) -> limits_simulation.Machine:
        """Return the VM that has lent most, or the last one where all hold the same."""
        chosen = self.world.machines[f"vm-{self._vms - 1}"].limiter.holders_of(ORGANISATION)
        return self.world.machines[chosen[-1]] if chosen else self.world.machines["vm-0"]

    def _strike(self) -> None:
        world, fault = self.world, self._row.fault
        if "store out" in fault:
            world.store_up = False
        if fault.startswith("holder dies"):
            world.crash(self._victim())
        if fault == "holder paused":
            self._victim().woken_at = world.now + FAULT_SECONDS
        if fault == "partition":
            names = sorted(world.machines)
            world.cut = {frozenset((a, b)) for a in names[:3] for b in names[3:]}
        if fault.startswith("herd"):
            for machine in world.alive[:-1] if "store" in fault else world.alive:
                world.crash(machine)
                world.start(machine.name, 2)

    def _heal(self) -> None:
        self.world.cut = set()
        for machine in list(self.world.machines.values()):
            if not machine.alive:
                self.world.start(machine.name, 3)
        if self._row.fault == "store out":
            self.world.store_up = True


def measure(fault: str, spread: str, load: float, seeds: int = 3) -> Row:
    """Return the sum over `seeds` of one fault under one spread of the traffic."""
    total = Row("escrow", fault, spread, load)
    for seed in range(seeds):
        row = Row("escrow", fault, spread, load)
        total.add(Scenario(limiters.Limiter, row, seed).run())
    return total


@click.command("limits-faults")
@click.option("--load", default=0.8, show_default=True, help="Traffic as a part of the rate.")
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
def command(load: float, output: pathlib.Path | None) -> None:
    """Measure wrongful refusals and excess admission by fault.

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
