"""One organisation far above its rate, and what the others notice of it."""

from __future__ import annotations

import dataclasses
import json
import random

import click
from hdrh import histogram

from hollyring.experiments import limits_world
from hollyring.limits import fairness, holders, messages

RATES = (30_000, 20_000, 10_000, 5_000, 5_000)
BURST_SECONDS = 3
NORMAL_LOAD = 0.8
GREEDY_LOAD = 5.0
HEADROOM = 1.2
"""Tokens a second that the upstreams take, against the sum of all rates."""

REQUEST_TOKENS = (200, 1800)
WARM_SECONDS = 10.0
RUN_SECONDS = 120.0
DEADLINE_SECONDS = 10.0
WORST_MICROSECONDS = 60_000_000


@dataclasses.dataclass(slots=True)
class Offer:
    """One request as it was sent."""

    organisation: str
    vm: str
    tokens: int
    at: float
    inside: bool


@dataclasses.dataclass(slots=True)
class Outcome:
    """What the organisations inside their rates met."""

    load: float
    offered: int = 0
    wrongly_refused: int = 0
    given_up: int = 0
    p95_ms: float = 0.0
    greedy_admitted: int = 0
    greedy_refused: int = 0
    greedy_tokens_per_second: float = 0.0
    excess: float = 0.0


class _Bucket:
    def __init__(self, limit: holders.Limit) -> None:
        self._limit = limit
        self._level = float(limit.burst)
        self._at = 0.0

    def take(self, tokens: int, now: float) -> bool:
        self._level += (now - self._at) * self._limit.rate
        self._level = min(float(self._limit.burst), self._level)
        self._at = now
        inside = tokens <= self._level
        self._level -= tokens * inside
        return inside


def measure(load: float, seed: int = 1, vms: int = 9) -> Outcome:
    """Return the outcome with the first organisation at `load` times its rate."""
    rng = random.Random(seed)
    limits = [
        holders.Limit(f"organisation-{i}", rate, rate * BURST_SECONDS)
        for i, rate in enumerate(RATES)
    ]
    world = limits_world.World(rng, vms, limits)
    world.run_until(WARM_SECONDS)
    offers = _offer(world, limits, load, rng)
    world.run_until(world.now + 1.0)
    outcome = Outcome(load)
    _serve(world, offers, outcome, sum(RATES) * HEADROOM / vms)
    greedy = world.judges["organisation-0"].admissions.values()
    outcome.greedy_tokens_per_second = round(sum(a.tokens for a in greedy) / RUN_SECONDS, 1)
    outcome.excess = max(judge.excess() for judge in world.judges.values())
    return outcome


def _offer(
    world: limits_world.World, limits: list[holders.Limit], load: float, rng: random.Random
) -> dict[str, Offer]:
    """Send each organisation's traffic through all VMs and return what was sent."""
    mean = sum(REQUEST_TOKENS) / 2
    loads = [load] + [NORMAL_LOAD] * (len(limits) - 1)
    plan = []
    for limit, part in zip(limits, loads, strict=True):
        at = world.now
        while at < WARM_SECONDS + RUN_SECONDS:
            at += rng.expovariate(limit.rate * part / mean)
            plan.append((at, limit.organisation, rng.randint(*REQUEST_TOKENS)))
    buckets = {limit.organisation: _Bucket(limit) for limit in limits}
    offers = {}
    for at, organisation, tokens in sorted(plan):
        world.run_until(at)
        machine = rng.choice(world.awake)
        inside = buckets[organisation].take(tokens, at)
        request = world.submit(machine, organisation, tokens)
        offers[request] = Offer(organisation, machine.name, tokens, at, inside)
    return offers


def _serve(
    world: limits_world.World, offers: dict[str, Offer], outcome: Outcome, speed: float
) -> None:
    """Queue what was admitted at each VM, serve it at `speed` and count."""
    times = histogram.HdrHistogram(1, WORST_MICROSECONDS, 3)
    admitted: dict[str, list[tuple[float, str]]] = {}
    for request, offer in offers.items():
        greedy = offer.organisation == "organisation-0"
        outcome.offered += not greedy
        match world.decided[request]:
            case messages.Refused():
                outcome.greedy_refused += greedy
                outcome.wrongly_refused += offer.inside and not greedy
            case messages.Admitted():
                outcome.greedy_admitted += greedy
                at = world.judges[offer.organisation].admissions[request].at
                admitted.setdefault(offer.vm, []).append((at, request))
    for arrivals in admitted.values():
        for request, done in _serve_one(sorted(arrivals), offers, speed).items():
            if offers[request].organisation == "organisation-0":
                continue
            outcome.given_up += done is None
            if done is not None:
                times.record_value(max(1, int((done - offers[request].at) * 1e6)))
    outcome.p95_ms = round(times.get_value_at_percentile(95) / 1000, 1)


def _serve_one(
    arrivals: list[tuple[float, str]], offers: dict[str, Offer], speed: float
) -> dict[str, float | None]:
    """Return when each request of one VM was served, None where it was given up."""
    queue = fairness.FairQueue(speed)
    done: dict[str, float | None] = {}
    free = 0.0
    position = 0
    while position < len(arrivals) or queue.waiting:
        if queue.waiting and (position == len(arrivals) or free <= arrivals[position][0]):
            match queue.pop(free):
                case fairness.Dispatch() as dispatch:
                    free += offers[dispatch.request_id].tokens / speed
                    done[dispatch.request_id] = free
                case fairness.GiveUp() as given_up:
                    done[given_up.request_id] = None
            continue
        at, request = arrivals[position]
        position += 1
        free = max(free, at) if not queue.waiting else free
        offer = offers[request]
        deadline = offer.at + DEADLINE_SECONDS
        waiting = fairness.Entry(request, offer.organisation, offer.tokens, deadline)
        if queue.push(waiting, at) is not None:
            done[request] = None
    return done


@click.command("limits-overload")
@click.option("--seed", default=1, show_default=True, help="Seed of every choice.")
def command(seed: int) -> None:
    """Compare the others' refusals and times with and without one organisation's excess.

    Example: hollyring experiment limits-overload --seed 1
    """
    for load in (NORMAL_LOAD, GREEDY_LOAD):
        click.echo(json.dumps(dataclasses.asdict(measure(load, seed))))
