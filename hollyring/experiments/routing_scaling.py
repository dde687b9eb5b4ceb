"""Costs of routing decisions and cache events by the sizes that they depend on."""

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

MICROSECONDS_PER_SECOND = 1e6
SAMPLE_COUNT = 20_000
MODEL, VERSION = "parish", "v1"


def prompts(tokens: int, count: int, seed: int) -> Iterator[bytes]:
    """Yield `count` prompts of `tokens` tokens over 40 documents, each with its own question."""
    rng = random.Random(seed)
    documents = [rng.randbytes(tokens * prompt_blocks.TOKEN_BYTES) for _ in range(40)]
    for _ in range(count):
        document = rng.choice(documents)
        question = rng.randbytes(2 * prompt_blocks.BLOCK_BYTES)
        yield document[: len(document) - len(question)] + question


def make_router(
    upstream_count: int, indexed_blocks: int, policy: policies.Policy
) -> routers.Router:
    """Return a router with `upstream_count` upstreams and `indexed_blocks` blocks in its index."""
    served = (upstreams.ServedModel(MODEL, VERSION),)
    configured = [
        upstreams.Upstream(f"ls-{n}", f"domain-{n % 3}", served, incarnation=1)
        for n in range(upstream_count)
    ]
    vms = [f"vm-{n}" for n in range(max(1, upstream_count // 4))]
    router = routers.Router("vm-0", policy, invariants.Invariants())
    router.configure(configured, vms, 0.0)
    rng = random.Random(1)
    watched = router.watched()
    for name in watched:
        hashes = tuple(rng.getrandbits(64) for _ in range(indexed_blocks // len(watched)))
        router.observe_snapshot(name, events.Snapshot(1, 1, hashes), 0.0)
    for upstream in configured:
        report = messages.LoadReport(1, 3, 0, rng.randrange(4000), 8000.0)
        router.observe_load(upstream.name, report, 0.0)
    return router


def decision_costs(
    upstream_count: int,
    indexed_blocks: int,
    tokens: int,
    policy: policies.Policy,
    count: int = 2000,
) -> dict[str, float]:
    """Measure `count` whole decisions: hashing the prompt, routing and dispatch."""
    router = make_router(upstream_count, indexed_blocks, policy)
    rng = random.Random(2)
    chain_seconds, routing_seconds, processor_seconds = [], [], []
    now = 1.0
    gc.collect()
    for prompt in prompts(tokens, count, 3):
        now += 0.1
        processor_start = time.thread_time()
        start = time.perf_counter()
        chain = prefix.chain("bohari", MODEL, VERSION, prompt)
        middle = time.perf_counter()
        request = requests.RouteRequest("bohari", MODEL, VERSION, chain, tokens, 100, now + 60)
        decision = router.route(request, now, rng)
        if isinstance(decision, requests.NeedLookup):
            decision = router.route(request, now, rng, may_look_up=False)
        assert isinstance(decision, requests.Route)
        attempt = router.dispatched(request, decision, now)
        end = time.perf_counter()
        processor_seconds.append(time.thread_time() - processor_start)
        router.first_token(attempt, now + 0.05)
        router.finished(attempt, decision.expected_cached_tokens, now + 0.06)
        chain_seconds.append(middle - start)
        routing_seconds.append(end - start)
    routing_seconds.sort()
    processor_seconds.sort()
    return {
        "upstreams": upstream_count,
        "indexed_blocks": indexed_blocks,
        "prompt_tokens": tokens,
        "p50_us": round(MICROSECONDS_PER_SECOND * routing_report.quantile(routing_seconds, 0.5), 1),
        "p99_us": round(
            MICROSECONDS_PER_SECOND * routing_report.quantile(routing_seconds, 0.99), 1
        ),
        "p50_processor_us": round(
            MICROSECONDS_PER_SECOND * routing_report.quantile(processor_seconds, 0.5), 1
        ),
        "p99_processor_us": round(
            MICROSECONDS_PER_SECOND * routing_report.quantile(processor_seconds, 0.99), 1
        ),
        "chain_p50_us": round(
            MICROSECONDS_PER_SECOND * routing_report.quantile(sorted(chain_seconds), 0.5), 1
        ),
        "allocated_bytes": _allocated_bytes(router, tokens),
    }


def _allocated_bytes(router: routers.Router, tokens: int) -> int:
    prompt = next(iter(prompts(tokens, 1, 4)))
    rng = random.Random(5)
    chain = prefix.chain("bohari", MODEL, VERSION, prompt)
    request = requests.RouteRequest("bohari", MODEL, VERSION, chain, tokens, 100, 9e9)
    router.route(request, 1000.0, rng, may_look_up=False)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    router.route(request, 1000.0, rng, may_look_up=False)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak - before


def index_costs(block_count: int) -> dict[str, float]:
    """Return the bytes per block and the time per event of an index with `block_count` blocks."""
    rng = random.Random(6)
    hashes = [rng.getrandbits(64) for _ in range(block_count)]
    cache_index = index.CacheIndex()
    cache_index.watch(["ls-1"])
    start = time.perf_counter()
    cache_index.observe_snapshot("ls-1", events.Snapshot(1, 0, tuple(hashes)), 0.0)
    snapshot_seconds = time.perf_counter() - start
    batches = []
    for sequence in range(1, SAMPLE_COUNT + 1, 2):
        new, old = rng.getrandbits(64), hashes[sequence]
        stored = events.CacheEvent(sequence, events.EventKind.STORED, (new,))
        removed = events.CacheEvent(sequence + 1, events.EventKind.REMOVED, (old,))
        batches.append((stored, removed))
    start = time.perf_counter()
    for batch in batches:
        cache_index.observe_events("ls-1", events.EventBatch(1, batch), 0.0)
    event_seconds = time.perf_counter() - start
    block_set = set(hashes)
    set_bytes = sys.getsizeof(block_set) + block_count * sys.getsizeof(hashes[0])
    return {
        "blocks": block_count,
        "bytes_per_block": round(cache_index.size_bytes / block_count, 1),
        "set_bytes_per_block": round(set_bytes / block_count, 1),
        "event_us": round(MICROSECONDS_PER_SECOND * event_seconds / SAMPLE_COUNT, 2),
        "snapshot_us_per_block": round(MICROSECONDS_PER_SECOND * snapshot_seconds / block_count, 2),
    }


def containment_costs(block_count: int) -> dict[str, float]:
    """Return the time of a membership test in a `BlockTable` and in a set, in microseconds."""
    rng = random.Random(7)
    hashes = [rng.getrandbits(64) for _ in range(block_count)]
    table = block_table.BlockTable(2 * block_count)
    table.update(hashes)
    queried = hashes[:SAMPLE_COUNT]
    return {
        "blocks": block_count,
        "table_us": _mean_us(lambda block_hash: block_hash in table, queried),
        "set_us": _mean_us(set(hashes).__contains__, queried),
    }


def memory_costs() -> dict[str, int]:
    """Return the bytes of a router of 300 upstreams, and its growth until all tables are full."""
    tracemalloc.start()
    router = make_router(300, 241_000, policies.Prefix())
    before = tracemalloc.get_traced_memory()[0]
    rng = random.Random(8)
    rounds = 2 * recent_prefixes.MAX_HASHES // 30
    for number in range(rounds):
        hashes = tuple(rng.getrandbits(64) for _ in range(30))
        chain = prefix.Chain("bohari", MODEL, VERSION, hashes)
        now = 1.0 + number / 10
        request = requests.RouteRequest("bohari", MODEL, VERSION, chain, 31_000, 100, now + 60)
        route = router.route(request, now, rng, may_look_up=False)
        assert isinstance(route, requests.Route)
        router.finished(router.dispatched(request, route, now), 0, now)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"configured_and_indexed_bytes": before, "learnt_bytes": after - before}


def _mean_us(function: Callable[[int], bool], hashes: list[int]) -> float:
    start = time.perf_counter()
    for block_hash in hashes:
        function(block_hash)
    return round(MICROSECONDS_PER_SECOND * (time.perf_counter() - start) / len(hashes), 3)


def measure() -> dict[str, object]:
    """Return all costs."""
    policy = policies.Prefix()
    return {
        "by_upstreams": [decision_costs(n, 241_000, 32_000, policy) for n in (6, 60, 300)],
        "by_prompt": [decision_costs(300, 241_000, n, policy) for n in (4_000, 32_000, 100_000)],
        "by_index": [decision_costs(300, n, 32_000, policy) for n in (24_100, 241_000, 380_000)],
        "index": [index_costs(n) for n in (24_100, 60_000, 241_000)],
        "memory": memory_costs(),
        "membership": [containment_costs(n) for n in (60_000, 241_000)],
    }


@click.command("routing-slopes")
@click.option(
    "--output", type=click.Path(dir_okay=False, path_type=pathlib.Path), help="JSON file."
)
def routing_scaling(output: pathlib.Path | None) -> None:
    """Measure the costs of routing decisions and cache events on this computer.

    Example: hollyring experiment routing-slopes --output docs/measurements/routing-slopes.json
    """
    text = json.dumps(measure(), indent=1)
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(text + "\n")
    click.echo(text)
