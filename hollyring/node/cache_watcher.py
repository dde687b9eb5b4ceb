"""Watcher of the prefix caches of upstreams and cache stores, called holders.

Each holder is polled by only one VM, the ready serving one that ranks first for it by rendezvous
hashing, which reports the changes to the others. A VM that begins to serve copies the contents of
the other caches from serving VMs, and polls only those that none of them knows.

A copy or a first poll returns up to thousands of parts. All at once they would fill a narrow link
for seconds, in which nothing else reaches the VM; so they take turns and use a share of the link.

An upstream in backoff is not polled: a poll occupies one of the few that it holds at once, and the
changes missed meanwhile follow with the next one.
"""

from __future__ import annotations

import collections
import math
import random

import anyio
import anyio.abc

from hollyring.core import rendezvous
from hollyring.membership import heartbeat
from hollyring.node import (
    clock,
    connection_pool,
    exchanges,
    interfaces,
    logs,
    peers,
    send_permits,
    state,
)

POLL_WAIT_SECONDS = 1.0
BATCH_DELAY_SECONDS = 0.1
"""Delay after a poll, so that the next response covers several events."""

FIRST_POLLS_AT_ONCE = 2
FIRST_POLL_LINK_SHARE = 0.3
"""Most first polls at once, and the share of the VM's link that they use in the mean."""

COPIED_HOLDERS = 8
"""Most caches whose contents are copied at once."""

COPY_TIMEOUT_SECONDS = 0.5
COPIED_PART_BYTES = 48
"""Approximate size of one part in a copy."""

FIRST_POLL_WAIT_SECONDS = 0.2
"""Time for which a first poll waits at a holder that has no events."""

CALL_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DELAY_SECONDS = 8.0
"""Delay after a failed poll; it doubles up to the second after each answer that is too long."""

TICK_SECONDS = 0.25
IDLE_TICK_SECONDS = 1.0
"""Time between two ticks of a VM that does not serve and polls nothing."""

START_DELAY_SECONDS = 0.5
"""Delay after the start, within which a VM learns whether it serves."""

LIMITED_POLL_SECONDS = 5.0
"""Time before each poll of an upstream that named a request limit, which requests need more."""

MAX_REPORTED_CHANGES = 400
"""Most changes in one report to the other VMs; the oldest ones of a longer list are left out."""

HTTP_OK = 200


class CacheWatcher:
    """Polls the cache events of the holders that this VM is responsible for.

    Parameters
    ----------
    vm_state
        State whose prefix caches are updated.
    codec
        Encodes requests and decodes events.
    connections
        Connection pool for the holders.
    peer_connections
        Connections to the other VMs.
    permits
        Permits to call upstreams that named a request limit.
    link_bits_per_second
        Bandwidth of this VM's link.
    """

    def __init__(
        self,
        vm_state: state.State,
        codec: interfaces.UpstreamCodec,
        connections: connection_pool.ConnectionPool,
        peer_connections: peers.PeerConnections,
        permits: send_permits.SendPermits,
        link_bits_per_second: float = math.inf,
    ) -> None:
        self._peers = peer_connections
        self._link_bits_per_second = link_bits_per_second
        self._first_polls = anyio.Semaphore(FIRST_POLLS_AT_ONCE)
        self._permits = permits
        self._state = vm_state
        self._codec = codec
        self._connections = connections
        self._epochs: dict[str, int] = {}
        self._after: dict[str, int] = {}
        self._copied: set[str] = set()
        self._unknown_to_others: set[str] = set()
        self._watched: dict[str, anyio.CancelScope] = {}
        self._ranked_watchers: frozenset[str] = frozenset()
        self._first_watchers: dict[str, str] = {}
        self._rng = random.Random(str(vm_state.vm_info.life))
        self._log = logs.Logger("caches")

    async def run(self) -> None:
        """Poll the holders until cancelled."""
        async with anyio.create_task_group() as group:
            await anyio.sleep(START_DELAY_SECONDS)
            group.start_soon(self._copy_contents)
            while True:
                self._tick(group)
                serving = self._state.peers.is_serving
                await anyio.sleep(TICK_SECONDS if serving else IDLE_TICK_SECONDS)

    def _tick(self, group: anyio.abc.TaskGroup) -> None:
        holders = self._state.caches.holders() if self._state.peers.is_serving else {}
        for holder in [holder for holder in self._epochs if holder not in holders]:
            del self._epochs[holder]
            self._after.pop(holder, None)
        for holder in self._first_watchers.keys() - holders.keys():
            del self._first_watchers[holder]
        self._copied &= holders.keys()
        self._unknown_to_others &= holders.keys()
        for holder in [holder for holder in self._watched if holder not in holders]:
            self._watched.pop(holder).cancel()
        watchers = self._watchers()
        for holder, address in holders.items():
            if holder in self._watched:
                continue
            is_first = holder in self._unknown_to_others and holder not in self._epochs
            if not is_first and not self._is_first(holder, watchers):
                continue
            scope = self._watched[holder] = anyio.CancelScope()
            group.start_soon(self._watch, holder, address, scope)

    def contents(self, request: heartbeat.CacheRequest) -> heartbeat.CacheContents:
        """Return the contents of the requested caches that this VM knows."""
        known = [h for h in request.holders if h in self._epochs or h in self._copied]
        reports = [self._state.caches.contents(holder) for holder in known[:COPIED_HOLDERS]]
        return heartbeat.CacheContents(reports)

    async def _copy_contents(self) -> None:
        """Copy the contents of the caches that this VM does not know from other serving VMs."""
        while True:
            holders = self._state.caches.holders() if self._state.peers.is_serving else {}
            settled = self._epochs.keys() | self._copied | self._unknown_to_others
            unknown = [holder for holder in holders if holder not in settled]
            if not unknown:
                await anyio.sleep(TICK_SECONDS)
                continue
            wanted = self._rng.sample(unknown, min(COPIED_HOLDERS, len(unknown)))
            parts = await self._copy_from_one_vm(wanted)
            bits = parts * COPIED_PART_BYTES * 8
            await anyio.sleep(bits / (self._link_bits_per_second * FIRST_POLL_LINK_SHARE))

    async def _copy_from_one_vm(self, holders: list[str]) -> int:
        """Copy the contents of some caches, or note that they must be polled; return the parts."""
        addresses = [vm.peer_address for vm in self._serving_others()]
        reply: object | None = None
        if addresses:
            request = heartbeat.CacheRequest(holders)
            address = self._rng.choice(addresses)
            reply = await self._peers.call(address, request, COPY_TIMEOUT_SECONDS)
        reports = reply.reports if isinstance(reply, heartbeat.CacheContents) else []
        for report in reports:
            self._copied.add(report.holder)
            self._state.caches.apply_report(report, clock.now())
        self._unknown_to_others.update(set(holders) - self._copied)
        return sum(len(report.changes) for report in reports)

    def _serving_others(self) -> list[heartbeat.VmInfo]:
        """Return the other ready VMs that serve."""
        serving = {vm.name for vm in self._state.peers.serving}
        return [
            peer.vm
            for peer in self._state.peers.alive(clock.now())
            if peer.ready and peer.vm.name in serving
        ]

    def _is_responsible(self, holder: str) -> bool:
        return self._is_first(holder, self._watchers())

    def _watchers(self) -> frozenset[str]:
        """Return the VMs that share the holders, none if this VM is not ready."""
        if not self._state.ready:
            return frozenset()
        others = self._serving_others()
        return frozenset([self._state.vm_info.name, *(vm.name for vm in others)])

    def _is_first(self, holder: str, watchers: frozenset[str]) -> bool:
        """Return whether this VM ranks first for a holder among some VMs."""
        if watchers != self._ranked_watchers:
            self._ranked_watchers = watchers
            self._first_watchers.clear()
        if not watchers:
            return False
        first = self._first_watchers.get(holder)
        if first is None:
            first = self._first_watchers[holder] = rendezvous.first(holder.encode(), watchers)
        return first == self._state.vm_info.name

    async def _watch(self, holder: str, address: str, scope: anyio.CancelScope) -> None:
        """Poll the events of a holder once, and again while this VM is responsible for it."""
        delay = RETRY_DELAY_SECONDS
        with scope:
            while True:
                await self._wait_for_backoff(holder)
                await self._wait_for_permit(holder)
                try:
                    if holder in self._epochs:
                        await self._poll(holder, address)
                    else:
                        await self._poll_first(holder, address)
                except exchanges.HttpConnectionError as error:
                    self._log.info("cache events poll failed", holder=holder, why=str(error))
                    self._report(heartbeat.CacheReport(holder, False, False, []))
                    await anyio.sleep(delay)
                    is_too_long = isinstance(error, exchanges.BodyTooLongError)
                    delay = _next_delay(delay) if is_too_long else RETRY_DELAY_SECONDS
                    if not self._is_responsible(holder):
                        self._epochs.setdefault(holder, 0)
                        break
                    continue
                delay = RETRY_DELAY_SECONDS
                if not self._is_responsible(holder):
                    break
                await anyio.sleep(BATCH_DELAY_SECONDS)
        if self._watched.get(holder) is scope:
            del self._watched[holder]

    async def _poll(self, holder: str, address: str) -> None:
        """Poll a holder again and report its changes to the other VMs."""
        events, _ = await self._fetch_events(holder, address, POLL_WAIT_SECONDS)
        reset = events.epoch != self._epochs[holder]
        if reset:
            self._log.info("cache restarted empty", holder=holder, epoch=events.epoch)
        changes = self._record_events(holder, events)
        if changes or reset:
            self._report(
                heartbeat.CacheReport(holder, True, reset, changes[-MAX_REPORTED_CHANGES:])
            )

    async def _poll_first(self, holder: str, address: str) -> None:
        """Poll a holder for the first time, when it is its turn."""
        async with self._first_polls:
            events, size = await self._fetch_events(holder, address, FIRST_POLL_WAIT_SECONDS)
            changes = self._record_events(holder, events)
            self._state.caches.apply_report(
                heartbeat.CacheReport(holder, True, False, changes), clock.now()
            )
            bits_per_second = self._link_bits_per_second * FIRST_POLL_LINK_SHARE
            await anyio.sleep(size * 8 * FIRST_POLLS_AT_ONCE / bits_per_second)

    def _record_events(
        self, holder: str, events: interfaces.CacheEvents
    ) -> list[heartbeat.CachedPart]:
        self._epochs[holder] = events.epoch
        self._after[holder] = events.resume_after
        return _latest_changes(events.changes)

    async def _wait_for_backoff(self, holder: str) -> None:
        """Wait until an upstream's backoff ends; a cache store has none."""
        while True:
            upstream = self._state.registry.get(holder)
            seconds = self._state.backoffs.seconds_left(upstream) if upstream else 0.0
            if not seconds:
                return
            # Not all of it at once, as the upstream's next incarnation is not in backoff.
            await anyio.sleep(min(seconds, TICK_SECONDS))

    async def _wait_for_permit(self, holder: str) -> None:
        """Wait until an upstream that named a request limit may be polled."""
        while True:
            upstream = self._state.registry.get(holder)
            limits = self._state.registry.request_limits
            if upstream is None or limits.per_second(upstream.incarnation) is None:
                return
            await anyio.sleep(LIMITED_POLL_SECONDS)
            if await self._permits.acquire(upstream) is not None:
                return

    def _report(self, report: heartbeat.CacheReport) -> None:
        """Apply a report here and queue it for the next heartbeat.

        That a holder doesn't answer says nothing of it while this VM may be cut off.
        """
        self._state.caches.apply_report(report, clock.now())
        if report.reachable or not self._state.reachability.is_any_suspected:
            self._state.cache_reports.append(report)

    async def _fetch_events(
        self, holder: str, address: str, seconds: float
    ) -> tuple[interfaces.CacheEvents, int]:
        """Return a holder's events, waiting some seconds for the first, and their bytes.

        Raises
        ------
        HttpConnectionError
            If no readable answer came in time.
        """
        after = self._after.get(holder, 0)
        request = self._codec.encode_events_request(address, after, seconds)
        sent_at = clock.now()
        response = await self._connections.call(address, request, CALL_TIMEOUT_SECONDS)
        upstream = self._state.registry.get(holder)
        if upstream is not None:
            head = exchanges.ResponseHead(response.status, response.headers)
            self._state.observe_head(upstream, self._codec.decode_head(head), sent_at)
        events = self._codec.decode_events(response.body) if response.status == HTTP_OK else None
        if events is None:
            raise exchanges.HttpConnectionError(f"status {response.status}, unreadable events")
        return events, len(response.body)


def _next_delay(seconds: float) -> float:
    return min(MAX_RETRY_DELAY_SECONDS, 2.0 * seconds)


def _latest_changes(changes: list[heartbeat.CachedPart]) -> list[heartbeat.CachedPart]:
    """Return the changes without those that a later change of the same part supersedes."""
    latest: collections.OrderedDict[tuple[str, str], heartbeat.CachedPart] = (
        collections.OrderedDict()
    )
    for change in changes:
        key = (change.salt, change.part)
        latest.pop(key, None)
        latest[key] = change
    return list(latest.values())
