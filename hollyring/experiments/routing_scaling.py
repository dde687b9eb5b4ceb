"""What one routing decision and one cache event cost, against the sizes they depend on."""

from __future__ import annotations

import gc
import json
import pathlib
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

import click

from hollyring.core import invariants, prompt_blocks
from hollyring.experiments import routing_report
from hollyring.routing import (
    block_table,
    events,
    index,
    messages,
    policies,
    prefix,
    recent_prefixes,
    requests,
    upstreams,
)
from hollyring.routing import router as routers

MICROSECONDS = 1e6
BATCH = 20_000
MODEL, VERSION = "parish", "v1"


def prompts(tokens: int, count: int, seed: int) -> Iterator[bytes]:
    """Yield prompts of `tokens` tokens over 40 documents, each with its own question."""
    draw = random.Random(seed)
    documents = [draw.randbytes(tokens * prompt_blocks.TOKEN_BYTES) for _ in range(40)]
    for _ in range(count):
        document = draw.choice(documents)
        question = draw.randbytes(2 * prompt_blocks.BLOCK_BYTES)
        yield document[: len(document) - len(question)] + question


def router_of(upstream_count: int, indexed: int, policy: policies.Policy) -> routers.Router:
    """Return a router of a region with `indexed` blocks in its index."""
    served = (upstreams.ServedModel(MODEL, VERSION),)
    listed = [
        upstreams.Upstream(f"ls-{n}", f"domain-{n % 3}", served, incarnation=1)
        for n in range(upstream_count)
    ]
    vms = [f"vm-{n}" for n in range(max(1, upstream_count // 4))]
    router = routers.Router("vm-0", policy, invariants.Invariants())
    router.configure(listed, vms, 0.0)
    draw = random.Random(1)
    watched = router.watched()
    for name in watched:
        names = tuple(draw.getrandbits(64) for _ in range(indexed // len(watched)))
        router.observe_snapshot(name, events.Snapshot(1, 1, names), 0.0)
    for one in listed:
        report = messages.LoadReport(1, 3, 0, draw.randrange(4000), 8000.0)
        router.observe_load(one.name, report, 0.0)
    return router


def decisions(
    upstream_count: int, indexed: int, tokens: int, policy: policies.Policy, count: int = 2000
) -> dict[str, float]:
    """Time `count` whole decisions: chain, choice and dispatch."""
    router = router_of(upstream_count, indexed, policy)
    draw = random.Random(2)
    chained, routed, processor = [], [], []
    now = 1.0
    gc.collect()
    for prompt in prompts(tokens, count, 3):
        now += 0.1
        begun = time.thread_time()
        start = time.perf_counter()
        chain = prefix.chain("bohari", MODEL, VERSION, prompt)
        middle = time.perf_counter()
        request = requests.RouteRequest("bohari", MODEL, VERSION, chain, tokens, 100, now + 60)
        decision = router.route(request, now, draw)
        if isinstance(decision, requests.NeedLookup):
            decision = router.route(request, now, draw, may_look_up=False)
        assert isinstance(decision, requests.Route)
        attempt = router.dispatched(request, decision, now)
        end = time.perf_counter()
        processor.append(time.thread_time() - begun)
        router.first_token(attempt, now + 0.05)
        router.finished(attempt, decision.expected_cached_tokens, now + 0.06)
        chained.append(middle - start)
        routed.append(end - start)
    routed.sort()
    processor.sort()
    return {
        "upstreams": upstream_count,
        "indexed_blocks": indexed,
        "prompt_tokens": tokens,
        "p50_us": round(MICROSECONDS * routing_report.quantile(routed, 0.5), 1),
        "p99_us": round(MICROSECONDS * routing_report.quantile(routed, 0.99), 1),
        "p50_processor_us": round(MICROSECONDS * routing_report.quantile(processor, 0.5), 1),
        "p99_processor_us": round(MICROSECONDS * routing_report.quantile(processor, 0.99), 1),
        "chain_p50_us": round(MICROSECONDS * routing_report.quantile(sorted(chained), 0.5), 1),
        "allocated_bytes": _allocated(router, tokens),
    }


def _allocated(router: routers.Router, tokens: int) -> int:
    prompt = next(iter(prompts(tokens, 1, 4)))
    draw = random.Random(5)
    chain = prefix.chain("bohari", MODEL, VERSION, prompt)
    request = requests.RouteRequest("bohari", MODEL, VERSION, chain, tokens, 100, 9e9)
    router.route(request, 1000.0, draw, may_look_up=False)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    router.route(request, 1000.0, draw, may_look_up=False)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak - before


def index_costs(held: int) -> dict[str, float]:
    """Return bytes of each block and time of each event of an index that holds `held` blocks."""
    draw = random.Random(6)
    names = [draw.getrandbits(64) for _ in range(held)]
    one = index.CacheIndex()
    one.watch(["ls-1"])
    start = time.perf_counter()
    one.observe_snapshot("ls-1", events.Snapshot(1, 0, tuple(names)), 0.0)
    loaded = time.perf_counter() - start
    batches = []
    for sequence in range(1, BATCH + 1, 2):
        new, old = draw.getrandbits(64), names[sequence]
        stored = events.CacheEvent(sequence, events.EventKind.STORED, (new,))
        removed = events.CacheEvent(sequence + 1, events.EventKind.REMOVED, (old,))
        batches.append((stored, removed))
    start = time.perf_counter()
    for batch in batches:
        one.observe_events("ls-1", events.EventBatch(1, batch), 0.0)
    applied = time.perf_counter() - start
    as_set = set(names)
    set_bytes = sys.getsizeof(as_set) + held * sys.getsizeof(names[0])
    return {
        "blocks": held,
        "bytes_per_block": round(one.size_bytes / held, 1),
        "set_bytes_per_block": round(set_bytes / held, 1),
        "event_us": round(MICROSECONDS * applied / BATCH, 2),
        "snapshot_us_per_block": round(MICROSECONDS * loaded / held, 2),
    }


def membership_costs(held: int) -> dict[str, float]:
    """Return the time of one membership test in a `BlockTable` and in a Python set."""
    draw = random.Random(7)
    names = [draw.getrandbits(64) for _ in range(held)]
    table = block_table.BlockTable(2 * held)
    table.update(names)
    asked = names[:BATCH]
    return {
        "blocks": held,
        "table_us": _each(lambda name: name in table, asked),
        "set_us": _each(set(names).__contains__, asked),
    }


def memory_costs() -> dict[str, int]:
    """Return the bytes that a router of 300 upstreams holds with everything at its bound."""
    tracemalloc.start()
    router = router_of(300, 241_000, policies.Prefix())
    before = tracemalloc.get_traced_memory()[0]
    draw = random.Random(8)
    rounds = 2 * recent_prefixes.MAX_HASHES // 30
    for number in range(rounds):
        names = tuple(draw.getrandbits(64) for _ in range(30))
        chain = prefix.Chain("bohari", MODEL, VERSION, names)
        now = 1.0 + number / 10
        request = requests.RouteRequest("bohari", MODEL, VERSION, chain, 31_000, 100, now + 60)
        route = router.route(request, now, draw, may_look_up=False)
        assert isinstance(route, requests.Route)
        router.finished(router.dispatched(request, route, now), 0, now)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"configured_and_indexed_bytes": before, "learnt_bytes": after - before}


def _each(function: Callable[[int], bool], names: list[int]) -> float:
    start = time.perf_counter()
    for name in names:
        function(name)
    return round(MICROSECONDS * (time.perf_counter() - start) / len(names), 3)


def measure() -> dict[str, object]:
    """Return all slopes."""
    policy = policies.Prefix()
    return {
        "by_upstreams": [decisions(n, 241_000, 32_000, policy) for n in (6, 60, 300)],
        "by_prompt": [decisions(300, 241_000, n, policy) for n in (4_000, 32_000, 100_000)],
        "by_index": [decisions(300, n, 32_000, policy) for n in (24_100, 241_000, 380_000)],
        "index": [index_costs(n) for n in (24_100, 60_000, 241_000)],
        "memory": memory_costs(),
        "membership": [membership_costs(n) for n in (60_000, 241_000)],
    }


@click.command("routing-slopes")
@click.option(
    "--output", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="JSON file."
)
def routing_scaling(output: pathlib.Path | None) -> None:
    """Measure what decisions and cache events cost on this machine.

    Example: hollyring experiment routing-slopes --output docs/measurements/routing-slopes.json
    """
    text = json.dumps(measure(), indent=1)
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(text + "\n")
    click.echo(text)
