"""Costs of the limiter by number of VMs and organisations."""

from __future__ import annotations

import dataclasses
import datetime
import gc
import heapq
import itertools
import json
import pathlib
import random
import sys
import time
import types
from collections.abc import Callable

import click
from thrift.protocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport import TTransport

from hollyring.core import identities, invariants
from hollyring.limits import holders, messages
from hollyring.limits import limiter as limiters

VM_COUNTS = (3, 9, 30, 90, 360)
ORGANISATION_COUNTS = (5, 500, 4700)
REQUESTS_PER_VM_SECOND = 8.6
"""Requests per second that each VM receives."""

REQUEST_TOKENS = (2_000, 14_000)
LOAD_SHARE = 0.8
"""Traffic of each organisation as a fraction of its rate."""

BURST_SECONDS = 5.0
MIN_BURST_TOKENS = 60_000
WARMUP_SECONDS = 5.0
RUN_SECONDS = 10.0
REQUEST_SECONDS = 2.0
"""Time from the admission of a request to its settlement."""

NETWORK_DELAY_SECONDS = 0.001
FRAME_BYTES = 8
"""Bytes that the peer protocol adds to a message: its length, kind and number."""


@dataclasses.dataclass(slots=True)
class Cost:
    """Mean costs per VM with one number of VMs and organisations.

    Parameters
    ----------
    vms, organisations
        Size of the fleet.
    processor_ms_per_second, bytes_sent_per_second, messages_sent_per_second
        CPU time, bytes and messages per VM and second.
    state_bytes
        Memory of the limiter of one VM.
    refused, offered
        Number of refused and of submitted requests of all VMs.
    bytes_per_message
        Mean size of a message, including its frame.
    """

    vms: int
    organisations: int
    processor_ms_per_second: float
    bytes_sent_per_second: float
    messages_sent_per_second: float
    state_bytes: int
    refused: int
    offered: int
    bytes_per_message: float


def encoded_size(message: messages.Message) -> int:
    """Return the size of `message` in bytes, encoded with Thrift's compact protocol.

    Examples
    --------
    >>> encoded_size(messages.Ask("parish-1", 1, 7, 2000))
    18
    """
    transport = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocol(transport)
    protocol.writeStructBegin("")
    for number, field in enumerate(dataclasses.fields(message), start=1):
        value = getattr(message, field.name)
        match value:
            case bool():
                protocol.writeFieldBegin(field.name, TType.BOOL, number)
                protocol.writeBool(value)
            case int():
                protocol.writeFieldBegin(field.name, TType.I64, number)
                protocol.writeI64(value)
            case _:
                protocol.writeFieldBegin(field.name, TType.STRING, number)
                protocol.writeString(str(value))
        protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    return len(transport.getvalue())


def state_size(root: object) -> int:
    """Return the size in bytes of `root` and all objects it refers to.

    Code, modules and the counters of invariants are excluded.
    """
    seen: set[int] = set()
    stack = [root]
    total = 0
    skipped = (type, types.ModuleType, types.FunctionType, invariants.Invariants)
    while stack:
        item = stack.pop()
        if id(item) in seen or isinstance(item, skipped):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        stack.extend(gc.get_referents(item))
    return total


LimiterCall = Callable[[float], messages.Effects]


class _Fleet:
    """Limiters that exchange messages with a fixed delay; counts CPU time and bytes.

    A `holder_count` of 0 stands for the default of the fleet's size.
    """

    def __init__(
        self,
        vms: int,
        organisations: int,
        rng: random.Random,
        holder_count: int = 0,
    ) -> None:
        self._rng = rng
        self._queue: list[tuple[float, int, str, str, messages.Message | messages.Admitted]] = []
        self._sequence = itertools.count()
        self.processor_seconds = 0.0
        self.messages_sent = self.bytes_sent = self.refused = self.offered = 0
        self._names = [f"vm-{i}" for i in range(vms)]
        self._limits = _limits(vms, organisations)
        self._weights = list(itertools.accumulate(limit.rate for limit in self._limits))
        slots = tuple(_slot(i, vms) for i in range(vms))
        self.limiters = {
            name: limiters.Limiter(identities.Incarnation(name, 1), invariants.Invariants())
            for name in self._names
        }
        update = limiters.Update(
            holders.Roster(1, slots, settled=1, holders=holder_count), tuple(self._limits)
        )
        for limiter in self.limiters.values():
            limiter.configure(update, 0.0)

    def reset(self) -> None:
        """Reset all counts to 0."""
        self.processor_seconds = 0.0
        self.messages_sent = self.bytes_sent = self.refused = self.offered = 0

    def run(self, start: float, seconds: float) -> None:
        """Submit requests, deliver messages and call each limiter's tick every 100 ms."""
        rate = REQUESTS_PER_VM_SECOND * len(self._names)
        end = start + seconds
        next_request = start
        next_tick = start
        while min(next_request, next_tick) < end:
            if self._queue and self._queue[0][0] <= min(next_request, next_tick):
                self._deliver()
            elif next_tick <= next_request:
                for name, limiter in self.limiters.items():
                    self._apply(name, limiter.tick, next_tick)
                next_tick += 0.1
            else:
                self._request(next_request)
                next_request += self._rng.expovariate(rate)

    def _request(self, now: float) -> None:
        name = self._rng.choice(self._names)
        (limit,) = self._rng.choices(self._limits, cum_weights=self._weights)
        tokens = self._rng.randint(*REQUEST_TOKENS)
        limiter = self.limiters[name]
        request_id = f"r{next(self._sequence)}"
        self.offered += 1
        self._apply(name, lambda at: limiter.admit(limit.organisation, tokens, request_id, at), now)

    def _deliver(self) -> None:
        now, _, sender, receiver, item = heapq.heappop(self._queue)
        limiter = self.limiters[receiver]
        match item:
            case messages.Admitted():
                used = item.tokens * 9 // 10
                self._apply(receiver, lambda at: limiter.settle(item.request_id, used, at), now)
            case _:
                self._apply(receiver, lambda at: limiter.receive(sender, item, at), now)

    def _apply(self, name: str, call: LimiterCall, now: float) -> None:
        start = time.thread_time()
        effects = call(now)
        self.processor_seconds += time.thread_time() - start
        for outgoing in effects.messages:
            self.messages_sent += 1
            self.bytes_sent += encoded_size(outgoing.message) + FRAME_BYTES
            entry = (now + NETWORK_DELAY_SECONDS, next(self._sequence), name, outgoing.receiver)
            heapq.heappush(self._queue, (*entry, outgoing.message))
        for decision in effects.decisions:
            match decision:
                case messages.Admitted():
                    entry = (now + REQUEST_SECONDS, next(self._sequence), name, name)
                    heapq.heappush(self._queue, (*entry, decision))
                case messages.Refused():
                    self.refused += 1


def _limits(vms: int, organisations: int) -> list[holders.Limit]:
    """Return limits with rates falling as 1 / (rank + 10) that sum to traffic / `LOAD_SHARE`."""
    tokens = REQUESTS_PER_VM_SECOND * vms * sum(REQUEST_TOKENS) / 2 / LOAD_SHARE
    weights = [1 / (rank + 10) for rank in range(organisations)]
    rates = [int(tokens * weight / sum(weights)) + 1 for weight in weights]
    return [
        holders.Limit(f"organisation-{i}", rate, max(int(rate * BURST_SECONDS), MIN_BURST_TOKENS))
        for i, rate in enumerate(rates)
    ]


def _slot(index: int, vms: int) -> holders.Slot:
    domains, regions = (14, 5) if vms >= 90 else (3, 1)
    domain = index % domains
    return holders.Slot(f"slot-{index}", f"vm-{index}", f"fd-{domain}", f"r-{domain % regions}")


def measure(vms: int, organisations: int, holder_count: int = 0, seed: int = 1) -> Cost:
    """Return the costs of one size of the fleet, as means over the VMs and `RUN_SECONDS`."""
    fleet = _Fleet(vms, organisations, random.Random(seed), holder_count)
    # The start is the time in which 1,000 tokens/s fill the smallest burst.
    fleet.run(MIN_BURST_TOKENS / 1000, WARMUP_SECONDS)
    fleet.reset()
    fleet.run(MIN_BURST_TOKENS / 1000 + WARMUP_SECONDS, RUN_SECONDS)
    vm_seconds = vms * RUN_SECONDS
    return Cost(
        vms,
        organisations,
        round(fleet.processor_seconds / vm_seconds * 1000, 3),
        round(fleet.bytes_sent / vm_seconds, 1),
        round(fleet.messages_sent / vm_seconds, 2),
        state_size(fleet.limiters["vm-0"]),
        fleet.refused,
        fleet.offered,
        round(fleet.bytes_sent / max(1, fleet.messages_sent), 1),
    )


@click.command("limits-slopes")
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="JSON file to write.")
def command(output: pathlib.Path | None) -> None:
    """Measure the costs of the limiter by number of VMs and organisations.

    Example: hollyring experiment limits-slopes --output docs/measurements/limits-slopes.json
    """
    costs = [
        measure(vms, organisations) for vms in VM_COUNTS for organisations in ORGANISATION_COUNTS
    ]
    report = {
        "command": "hollyring experiment limits-slopes",
        "date": datetime.datetime.now(datetime.UTC).date().isoformat(),
        "encoding": "thrift compact protocol and 8 bytes of frame; state machines without I/O",
        "slopes": [dataclasses.asdict(cost) for cost in costs],
    }
    text = json.dumps(report, indent=2)
    if output is None:
        click.echo(text)
    else:
        output.write_text(text + "\n")
