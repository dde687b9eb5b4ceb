"""Cost of the claim log and of streams, measured without a network."""

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
RUNS = 5
MICROSECONDS = 1e6
WALL = 1_700_000_000.0
VMS = 360


@dataclasses.dataclass(frozen=True, slots=True)
class LogCost:
    """What claims written one by one into one group cost."""

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
    """What a stream costs for each token, its event's identity as text included."""

    tokens: int
    microseconds_per_token: list[float]
    memory_bytes_per_token: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All measurements of one run."""

    logs: list[LogCost]
    stream: StreamCost


class _Service:
    """The platform's keys, without faults."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.versions: dict[str, int] = {}
        self.writes = 0
        self.written = 0

    def serve(self, action: claim_log.Action) -> storage.Event | None:
        match action:
            case storage.ReadValue(key):
                return storage.Value(key, self.values.get(key, b""), self.versions.get(key, 0))
            case storage.PutValue(key, value):
                self.writes += 1
                self.written += len(value)
                self.values[key] = value
                self.versions[key] = self.writes
                return storage.Written(key, self.writes)
            case storage.DeleteValue(key):
                self.writes += 1
                del self.values[key], self.versions[key]
        return None


def log_cost(claims: int) -> LogCost:
    """Return what this many claims cost, each written before the next comes."""
    timed = _fill(claims)[2]
    tracemalloc.start()
    service, log, _ = _fill(claims)
    stored = sum(map(len, service.values.values()))
    memory = tracemalloc.get_traced_memory()[0] - stored
    tracemalloc.stop()
    assert log.key_count == claims
    return LogCost(
        claims,
        service.writes,
        round(service.written / claims, 1),
        round(stored / claims, 1),
        len(service.values),
        max(map(len, service.values.values())),
        round(memory / claims, 1),
        round(timed / claims * MICROSECONDS, 1),
    )


def _fill(claims: int) -> tuple[_Service, claim_log.GroupLog, float]:
    source = random.Random(1)
    service, log = _Service(), claim_log.GroupLog(0, write_interval=0.0)
    began = time.process_time()
    for number in range(claims):
        key, body = source.randbytes(records.KEY_DIGEST_BYTES), source.randbytes(
            records.BODY_DIGEST_BYTES
        )
        owner = f"vm-{number % VMS:03d}"
        record = records.Record(key, body, owner, int(WALL), number, False, int(WALL))
        waiting = log.append(record, 0.0, WALL)
        while waiting:
            event = service.serve(waiting.pop(0))
            waiting += log.handle(event, 0.0, WALL) if event is not None else []
    return service, log, time.process_time() - began


def stream_cost() -> StreamCost:
    """Return what one long stream costs."""
    times = []
    for _ in range(RUNS):
        began = time.process_time()
        _stream()
        times.append(round((time.process_time() - began) / TOKENS * MICROSECONDS, 2))
    tracemalloc.start()
    kept = _stream()
    memory = tracemalloc.get_traced_memory()[0] / kept.tokens
    tracemalloc.stop()
    return StreamCost(TOKENS, sorted(times), round(memory, 1))


def _stream() -> stream.Stream:
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
    """Measure the claim log by number of claims, and a stream by token.

    Example: hollyring experiment delivery-cost --out delivery-claims.json
    """
    report = Report([log_cost(int(count)) for count in claims.split(",")], stream_cost())
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    pathlib.Path(out).write_bytes(text + b"\n")
    click.echo(str(report))
