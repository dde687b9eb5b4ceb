"""Cost of the claim log and of event streams, measured without a network."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import time
import tracemalloc

import click
import msgspec

from hollyring.core import invariants
from hollyring.delivery import claim_log, records, storage, stream

CLAIMS = (1_000, 10_000, 35_000)
TOKENS = 20_000
STREAM_RUNS = 5
MICROSECONDS_PER_SECOND = 1e6
WALL_CLOCK_SECONDS = 1_700_000_000.0
"""Unix time of all claims; an arbitrary value."""

VMS = 360


@dataclasses.dataclass(frozen=True, slots=True)
class LogCost:
    """Cost of claims that are written one by one into one group.

    Parameters
    ----------
    writes
        Number of writes to the key-value store.
    keys, largest_value_bytes
        Number of keys of the store at the end, and the size of its largest value.
    memory_bytes_per_claim
        Memory of the claim log, without the stored values.
    microseconds_per_claim
        CPU time.
    """

    claims: int
    writes: int
    written_bytes_per_claim: float
    stored_bytes_per_claim: float
    keys: int
    largest_value_bytes: int
    memory_bytes_per_claim: float
    microseconds_per_claim: float


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCost:
    """Cost of a stream per token, including the formatting of its event identifier."""

    tokens: int
    microseconds_per_token: list[float]
    memory_bytes_per_token: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All measurements of one run."""

    logs: list[LogCost]
    stream: StreamCost


class _KeyValueStore:
    """The platform's key-value store, without faults."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.versions: dict[str, int] = {}
        self.writes = 0
        self.bytes_written = 0

    def perform(self, action: claim_log.Action) -> storage.Event | None:
        match action:
            case storage.ReadValue(key):
                return storage.Value(key, self.values.get(key, b""), self.versions.get(key, 0))
            case storage.PutValue(key, value):
                self.writes += 1
                self.bytes_written += len(value)
                self.values[key] = value
                self.versions[key] = self.writes
                return storage.Written(key, self.writes)
            case storage.DeleteValue(key):
                self.writes += 1
                del self.values[key], self.versions[key]
        return None


def measure_log(claims: int) -> LogCost:
    """Measure the cost of a number of claims, each written before the next is appended."""
    processor_seconds = _write_claims(claims)[2]
    tracemalloc.start()
    store, log, _ = _write_claims(claims)
    stored = sum(map(len, store.values.values()))
    memory = tracemalloc.get_traced_memory()[0] - stored
    tracemalloc.stop()
    assert log.key_count == claims
    return LogCost(
        claims,
        store.writes,
        round(store.bytes_written / claims, 1),
        round(stored / claims, 1),
        len(store.values),
        max(map(len, store.values.values())),
        round(memory / claims, 1),
        round(processor_seconds / claims * MICROSECONDS_PER_SECOND, 1),
    )


def _write_claims(claims: int) -> tuple[_KeyValueStore, claim_log.GroupLog, float]:
    rng = random.Random(1)
    store, log = _KeyValueStore(), claim_log.GroupLog(0, write_interval=0.0)
    started = time.process_time()
    for number in range(claims):
        key, body = rng.randbytes(records.KEY_DIGEST_BYTES), rng.randbytes(
            records.BODY_DIGEST_BYTES
        )
        owner = f"vm-{number % VMS:03d}"
        record = records.Record(
            key, body, owner, int(WALL_CLOCK_SECONDS), number, False, int(WALL_CLOCK_SECONDS)
        )
        pending = log.append(record, 0.0, WALL_CLOCK_SECONDS)
        while pending:
            event = store.perform(pending.pop(0))
            pending += log.handle(event, 0.0, WALL_CLOCK_SECONDS) if event is not None else []
    return store, log, time.process_time() - started


def measure_stream() -> StreamCost:
    """Measure the cost of one long stream."""
    times = []
    for _ in range(STREAM_RUNS):
        started = time.process_time()
        _run_stream()
        times.append(round((time.process_time() - started) / TOKENS * MICROSECONDS_PER_SECOND, 2))
    tracemalloc.start()
    answer = _run_stream()
    memory = tracemalloc.get_traced_memory()[0] / answer.tokens
    tracemalloc.stop()
    return StreamCost(TOKENS, sorted(times), round(memory, 1))


def _run_stream() -> stream.Stream:
    answer = stream.Stream("r-1", 7, invariants.Invariants())
    attempt = answer.begin()
    for position in range(TOKENS):
        step = answer.accept(stream.Token(attempt.number, position, "abcd"))
        assert isinstance(step, stream.Deliver)
        str(step.event_id)
    return answer


@click.command()
@click.option("--claims", default=",".join(map(str, CLAIMS)), show_default=True)
@click.option("--out", type=click.Path(), required=True, help="File that the JSON is written to.")
def delivery_cost(claims: str, out: str) -> None:
    """Measure the cost of the claim log per claim and of a stream per token.

    Example: hollyring experiment delivery-cost --out delivery-claims.json
    """
    report = Report([measure_log(int(count)) for count in claims.split(",")], measure_stream())
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    pathlib.Path(out).write_bytes(text + b"\n")
    click.echo(str(report))
