"""Simulated VMs that run the real actors and watchers with an in-memory store and upstreams.

Time is simulated (`simulated_time`), so that tests are deterministic and seconds take milliseconds.
"""

import collections
import dataclasses
import math
import pickle

import anyio

from hollyring.configuration import deployment, freshness
from hollyring.fleet import messages
from hollyring.limits import service_retry_budgets
from hollyring.membership import heartbeat
from hollyring.node import (
    adapter_server,
    attempt,
    cache_watcher,
    clock,
    connection_pool,
    crash_watcher,
    exchanges,
    heartbeat_sender,
    interfaces,
    metrics,
    recent_copies,
    registration,
    release_controller,
    rollout_controller,
    send_permits,
    software_record,
    state,
    status_client,
    store_checker,
    store_watcher,
    upstream_prober,
)
from hollyring.node.tests import simulated_store
from hollyring.releases import messages as release_messages
from hollyring.routing import registry, software_versions

STORE_KEYS = interfaces.StoreKeys(
    "op/", "servers/", "vm/", "vm/.orders", "vm/.software", "vm/.release/"
)
WEIGHTS_LOAD_SECONDS = 1.5
MODEL = "m"
SERVICE = "ls"
RETRIES = service_retry_budgets.RetryRules(0.2, 50.0, 10.0)
MAX_VERSION_AGE_SECONDS = 13.5
MAX_SEEDS = 3
OPEN_CONNECTIONS = 4
"""Connections that live on in a cut of the form ``"open"``."""


class StoreCodec:
    """Implementation of `interfaces.StoreCodec` that pickles the decoded objects."""

    def decode_deployment(self, item):
        return self._decode(item, deployment.Deployment)

    def decode_wanted_version(self, item):
        return self._decode(item, interfaces.WantedVersion)

    def decode_release_order(self, item):
        return self._decode(item, release_messages.ReleaseOrder)

    def decode_upstream(self, item):
        return self._decode(item, registry.Entry)

    def decode_vm(self, item):
        return self._decode(item, heartbeat.VmInfo)

    def encode_vm(self, vm_info):
        return pickle.dumps(vm_info)

    def decode_software(self, item):
        return self._decode(item, software_versions.Record)

    def encode_software(self, record):
        return pickle.dumps(record)

    def decode_release(self, item):
        return self._decode(item, release_messages.ReleaseState)

    def encode_release(self, release):
        return pickle.dumps(release)

    def encode_release_status(self, release):
        return interfaces.Put("status/" + release.service, pickle.dumps(release.phase))

    def _decode(self, item, type_):
        try:
            value = pickle.loads(item.value)
        except pickle.UnpicklingError:
            return None
        return value if isinstance(value, type_) else None


@dataclasses.dataclass
class ReceivedOrder:
    at: float
    holder: str
    fencing: int
    version: int


class Upstream:
    """Inference server that accepts orders and serves cache events."""

    def __init__(self, name, version=1):
        self.entry = registry.Entry(name, SERVICE, f"{name}:1", "a", 8, False, 1, {MODEL: version})
        self.version = version
        self.accepted = 0
        self.orders = []
        self.arrivals = []
        self.loading_until = -math.inf
        self.silent = False
        self.crashed = False
        self.epoch = 1
        self.events = []
        self.event_polls = 0
        self.endless_events = False
        self.backoff_until = -math.inf
        self.calls = []

    def calls_by(self, vm, since, until):
        """Return the number of calls that a VM made between two times."""
        return sum(name == vm and since <= at < until for at, name in self.calls)

    @property
    def busy(self):
        return clock.now() < self.loading_until

    def report(self, upstream, life, at):
        shown = [] if self.busy else [messages.ModelVersion(MODEL, str(self.version))]
        return messages.UpstreamState(
            upstream, life, shown, [], "both", False, at, self.busy, self.accepted
        )

    def accept(self, order, holder):
        version = int(order.change.version)
        self.arrivals.append(ReceivedOrder(clock.now(), holder, order.fencing, version))
        if order.expected != self.accepted or self.busy:
            return 409
        self.accepted += 1
        self.version = version
        self.loading_until = clock.now() + WEIGHTS_LOAD_SECONDS
        self.orders.append(self.arrivals[-1])
        return 202

    def set_cached(self, salt, part, tokens):
        self.events.append(heartbeat.CachedPart(salt, part, tokens))


@dataclasses.dataclass
class _ReportRequest:
    pass


@dataclasses.dataclass
class _OrderRequest:
    order: messages.Order
    holder: str


@dataclasses.dataclass
class _EventsRequest:
    after: int
    seconds: float


def answer_with_limit(per_second):
    """Return the decoded head of an answer to a request that names a limit, or none."""
    return interfaces.ResponseHead(200, [], True, False, False, "", 0, request_limit=per_second)


class UpstreamCodec:
    """Partial implementation of `interfaces.UpstreamCodec` that pickles objects."""

    def decode_head(self, head):
        seconds = float(dict(head.headers).get(b"retry-after", 0.0))
        return interfaces.ResponseHead(
            head.status, [], False, head.status == 503, False, "", 0, seconds
        )

    def encode_report_request(self, address):
        return pickle.dumps(_ReportRequest())

    def decode_report(self, upstream, life, body, at):
        return pickle.loads(body).report(upstream, life, at) if body else None

    def encode_order(self, address, order, holder):
        return pickle.dumps(_OrderRequest(order, holder))

    def decode_order_outcome(self, status):
        if status == 202:
            return messages.Outcome.ACCEPTED
        return messages.Outcome.CONFLICT

    def encode_events_request(self, address, after, seconds):
        return pickle.dumps(_EventsRequest(after, seconds))

    def decode_events(self, body):
        return pickle.loads(body)


class ConnectionPool:
    """Partial implementation of `connection_pool.ConnectionPool` for the simulated upstreams."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm
        self._listener = None
        self.open = set()
        self.connects = []

    def set_listener(self, listener):
        self._listener = listener

    def reset(self):
        """Lose all open connections by a reset."""
        for address in sorted(self.open):
            self._listener.failed(address)
        self.open.clear()

    def close_all_but(self, count):
        """Close most of the open connections, as when they were idle."""
        self.open = set(sorted(self.open)[:count])

    def has_idle(self, address):
        return address in self.open

    async def can_connect(self, address):
        try:
            await self._connect(address, connection_pool.PROBE_TIMEOUT_SECONDS)
        except exchanges.NotSentError:
            return False
        return True

    async def use(self, address):
        """Return whether a request gets an answer, on an open connection or a new one."""
        if address not in self.open:
            try:
                await self._connect(address, connection_pool.CONNECT_TIMEOUT_SECONDS)
            except exchanges.NotSentError:
                return False
        await anyio.sleep(simulated_store.CALL_SECONDS)
        if self._form() != "hang" and not self._upstream(address).crashed:
            return True
        await anyio.sleep(attempt.PROBE_AFTER_SECONDS)
        if not await self.can_connect(address):
            self.open.discard(address)
        return False

    async def _connect(self, address, seconds):
        self.connects.append(clock.now())
        if self._form() == "hang":
            await anyio.sleep(connection_pool.LATE_CONNECT_SECONDS)
            self._listener.late(address)
            await anyio.sleep(seconds - connection_pool.LATE_CONNECT_SECONDS)
        if self._form() or self._upstream(address).crashed:
            self._listener.failed(address)
            raise exchanges.NotSentError("no connection")
        self.open.add(address)
        self._listener.connected(address)

    def _form(self):
        return self._fleet.cut.get(self._vm, "")

    def _upstream(self, address):
        return self._fleet.upstreams[address.partition(":")[0]]

    async def call(self, address, request, seconds, max_bytes=connection_pool.MAX_CALL_BYTES):
        if address not in self.open and address.partition(":")[0] in self._fleet.upstreams:
            await self._connect(address, connection_pool.CONNECT_TIMEOUT_SECONDS)
        if self._form() == "hang":
            await anyio.sleep(seconds)
            raise exchanges.HttpConnectionError("no answer in time")
        await anyio.sleep(simulated_store.CALL_SECONDS)
        upstream = self._fleet.upstreams.get(address.partition(":")[0])
        if upstream is None or upstream.silent:
            await anyio.sleep(seconds)
            raise exchanges.HttpConnectionError("no answer in time")
        upstream.calls.append((clock.now(), self._vm))
        seconds_left = upstream.backoff_until - clock.now()
        if seconds_left > 0:
            header = (b"retry-after", b"%.3f" % seconds_left)
            return exchanges.Response(503, [header], b"")
        match pickle.loads(request):
            case _ReportRequest():
                return exchanges.Response(200, [], pickle.dumps(upstream))
            case _OrderRequest(order, holder):
                return exchanges.Response(upstream.accept(order, holder), [], b"")
            case _EventsRequest() if upstream.endless_events:
                upstream.event_polls += 1
                raise exchanges.BodyTooLongError(f"over {max_bytes} bytes")
            case _EventsRequest(after, wait):
                self._begin_poll(1)
                events = await self._events(upstream, after, wait)
                await anyio.sleep(self._fleet.poll_seconds)
                self._begin_poll(-1)
                return exchanges.Response(200, [], pickle.dumps(events))

    def _begin_poll(self, count):
        self._fleet.open_polls[self._vm] += count
        open_polls = self._fleet.open_polls[self._vm]
        self._fleet.most_open_polls = max(self._fleet.most_open_polls, open_polls)

    async def call_alone(self, address, request, seconds, may_send):
        await anyio.sleep(self._fleet.connect_seconds.get(self._vm, 0.0))
        if not may_send():
            raise exchanges.NotSentError("may not be sent any more")
        return await self.call(address, request, seconds)

    async def _events(self, upstream, after, seconds):
        upstream.event_polls += 1
        end = clock.now() + seconds
        while len(upstream.events) <= after and clock.now() < end:
            await anyio.sleep(0.05)
        return interfaces.CacheEvents(
            upstream.epoch, len(upstream.events), False, upstream.events[after:]
        )


class PeerConnections:
    """Messages from one VM to the others."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm

    def broadcast(self, addresses, message):
        for address in addresses:
            self._fleet.group.start_soon(self._deliver, address, message)

    async def call(self, address, message, seconds):
        with anyio.move_on_after(seconds):
            await self._travel(address)
            vm = self._reachable_vm(address)
            if vm is None:
                await anyio.sleep(seconds)
                return None
            self._fleet.peer_calls += 1
            reply = self._reply(vm, message)
            await anyio.sleep(self._fleet.delays.get(self._vm, 0.0))
            return reply
        return None

    def _reply(self, vm, message):
        match message:
            case heartbeat.StatusRequest():
                return vm.state.answer_status(message, clock.now())
            case heartbeat.CopyRequest():
                copy = vm.store_watcher.copy(message)
                if copy is not None:
                    self._fleet.copied_bytes += sum(len(item.value) for item in copy.items)
                return copy
            case heartbeat.PermitRequest():
                return vm.permits.answer(message)
            case heartbeat.CacheRequest():
                return vm.cache_watcher.contents(message)

    async def _travel(self, address):
        """Wait until the VM at an address reads a message."""
        name = address.partition(":")[0]
        sending = self._fleet.send_delays.get(self._vm, 0.0)
        reading = self._fleet.delays.get(name, 0.0)
        await anyio.sleep(simulated_store.CALL_SECONDS + sending + reading)
        await self._fleet.until_it_runs(name)

    async def _deliver(self, address, message):
        await self._travel(address)
        vm = self._reachable_vm(address)
        if vm is not None:
            self._receive(vm, message)

    def _receive(self, vm, message):
        if isinstance(message, heartbeat.PlaceReport):
            vm.permits.receive_report(message)
            return
        self._fleet.heartbeats += 1
        vm.state.receive(message, clock.now())
        if message.revisions:
            vm.store_watcher.notice_revisions()

    def _reachable_vm(self, address):
        name = address.partition(":")[0]
        if frozenset({name, self._vm}) in self._fleet.partitions:
            return None
        return self._fleet.vms.get(name)


class Vm:
    """One incarnation of a VM."""

    def __init__(self, fleet, name, life):
        domain = fleet.domains.get(name, "a")
        is_current = name not in fleet.of_earlier_build
        vm_info = heartbeat.VmInfo(
            name, life, f"{name}:1", f"{name}:2", domain, "r", settles_versions=is_current
        )
        store_codec = StoreCodec()
        client = simulated_store.StoreClient(fleet.store, name)
        codec = UpstreamCodec()
        client.set_era_listener(lambda era: self.state.store_era.observe(era, "store"))
        connections = ConnectionPool(fleet, name)
        peers = PeerConnections(fleet, name)
        seeds = [f"{seed}:2" for seed in fleet.names[:MAX_SEEDS]]
        self.name = name
        self.started_at = clock.now()
        self.state = state.State(
            vm_info,
            store_codec,
            STORE_KEYS,
            RETRIES,
            MAX_VERSION_AGE_SECONDS,
            freshness_rules=fleet.freshness_rules,
            release_rules=fleet.release_rules,
        )
        self.heartbeats = heartbeat_sender.HeartbeatSender(self.state, peers, seeds)
        self.store_watcher = store_watcher.StoreWatcher(
            client, self.state, peers, self.heartbeats.send_now, fleet.first_start_delay
        )
        self.store_checker = store_checker.StoreChecker(client, self.state, self.store_watcher)
        self.status_client = status_client.StatusClient(self.state, peers, self.store_watcher)
        self.copies = recent_copies.RecentCopies(
            self.state, self.store_checker, metrics.Metrics(), self.status_client
        )
        self.registration = registration.Registration(
            self.state, client, self.store_watcher, store_codec
        )
        self.state.first_start = fleet.first_start
        self.software_record = software_record.SoftwareRecord(
            self.state, client, store_codec, fleet.first_start_delay
        )
        self.releases = release_controller.ReleaseController(
            self.state, client, store_codec, metrics.Metrics()
        )
        self.permits = send_permits.SendPermits(self.state, peers)
        self.rollouts = rollout_controller.RolloutController(
            self.state,
            client,
            self.store_watcher,
            codec,
            connections,
            self.heartbeats.send_now,
            self.permits,
        )
        self.cache_watcher = cache_watcher.CacheWatcher(
            self.state, codec, connections, peers, self.permits, fleet.link_bits_per_second
        )
        self.connections = connections
        self.prober = upstream_prober.UpstreamProber(
            self.state, connections, self.heartbeats.send_now
        )
        self.crash_watcher = crash_watcher.CrashWatcher(self.state, connections)
        self.scope = anyio.CancelScope()
        self._exchange_delay = fleet.first_start_delay * 1.2

    async def run(self):
        tasks = [self.heartbeats.run, self.status_client.run]
        tasks += [self.rollouts.run, self.cache_watcher.run, self.software_record.run]
        tasks += [self.releases.run]
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.store_watcher.run)
                group.start_soon(self.store_checker.run)
                group.start_soon(self.registration.run)
                group.start_soon(self.prober.run)
                group.start_soon(self.crash_watcher.run)
                await anyio.sleep(self._exchange_delay)
                for task in tasks:
                    group.start_soon(task)

    async def run_on(self):
        """Run again after a standstill, with what this VM knew before."""
        self.scope = anyio.CancelScope()
        self._exchange_delay = 0.0
        await self.run()


class Fleet:
    """Simulated VMs with their store and upstreams.

    `delays` holds the seconds for which messages of other VMs lie unread at a VM, `send_delays`
    those for which its own wait before they leave it, `cut` how the connections of VMs to upstreams
    fail: ``"hang"``, ``"refused"``, or ``"open"`` if open ones live on while new ones are refused,
    `connect_seconds` how long VMs wait for an order's connection.
    VMs `of_earlier_build` do not state that they settle versions.
    """

    def __init__(self, group, names, upstreams):
        self.group = group
        self.names = names
        self.store = simulated_store.Store()
        self.vms = {}
        self.domains = {}
        self.partitions = set()
        self.delays = {}
        self.send_delays = {}
        self.cut = {}
        self.connect_seconds = {}
        self.of_earlier_build = set()
        self.standing = set()
        self.freshness_rules = freshness.FreshnessRules()
        self.release_rules = None
        self.first_start_delay = 0.0
        self.first_start = True
        self.heartbeats = 0
        self.peer_calls = 0
        self.upstreams = {}
        self._incarnations = 0
        self.copied_bytes = 0
        self.open_polls = collections.Counter()
        self.most_open_polls = 0
        self.poll_seconds = 0.0
        self.link_bits_per_second = math.inf
        self.store.put("op/config", make_deployment(1))
        for name in upstreams:
            self.add_upstream(Upstream(name))
        group.start_soon(self.store.run)

    def add_upstream(self, upstream):
        self.upstreams[upstream.entry.name] = upstream
        self.store.put("servers/" + upstream.entry.name, upstream.entry)

    def start(self, name):
        self._incarnations += 1
        vm = self.vms[name] = Vm(self, name, self._incarnations)
        self.group.start_soon(vm.run)
        return vm

    async def start_for_the_first_time(self, names, domains, bound_seconds):
        """Start a whole fleet over some failure domains, and wait until it is at rest."""
        self.domains = {name: f"dar-{n % domains}" for n, name in enumerate(names)}
        self.freshness_rules = freshness.FreshnessRules(bound_seconds)
        self.first_start_delay = adapter_server.FIRST_START_DELAY_SECONDS
        for name in names:
            self.start(name)
        self.first_start_delay = 0.0
        await self.wait_until(lambda: all(vm.state.ready for vm in self.vms.values()), 2.0)
        await anyio.sleep(5.0)

    def cut_off(self, names, form):
        """Cut VMs off from all upstreams."""
        self.cut |= dict.fromkeys(names, form)
        for name in names:
            if form == "refused":
                self.vms[name].connections.reset()
            elif form == "open":
                self.vms[name].connections.close_all_but(OPEN_CONNECTIONS)

    def heal(self, names):
        """Let VMs reach the upstreams again."""
        for name in names:
            del self.cut[name]

    def kill(self, name):
        """Stop a VM abruptly, as by a crash."""
        self.vms.pop(name).scope.cancel()
        self.first_start = False

    async def stand_still(self, name, seconds):
        """Let a VM stand still, as when its process is stopped; messages to it wait."""
        vm = self.vms[name]
        self.standing.add(name)
        vm.scope.cancel()
        await anyio.sleep(seconds)
        self.standing.discard(name)
        self.group.start_soon(vm.run_on)

    async def until_it_runs(self, name):
        """Wait while a VM stands still."""
        while name in self.standing:
            await anyio.sleep(0.005)

    async def stop(self, name):
        """Shut a VM down gracefully."""
        vm = self.vms[name]
        vm.state.leaving = True
        await vm.rollouts.stop()
        self.kill(name)

    def set_wanted_version(self, version):
        """Store a wanted version of the model's weights, as the operator does."""
        wanted = interfaces.WantedVersion(MODEL, version, self.store.revision + 1)
        self.store.put(f"op/version/{MODEL}", wanted)

    def restore_store(self, seconds, rewrite_delay=1.0):
        """Bring the store back from an older copy; operator and upstreams write again later."""
        self.store.restore(seconds)
        self.group.start_soon(self._write_again, rewrite_delay)

    async def _write_again(self, delay):
        await anyio.sleep(delay)
        self.store.write_again()

    def order_lease_holder(self):
        """Return the name of the only VM that holds the order lease, or an empty string."""
        holders = [vm.name for vm in self.vms.values() if vm.state.order_lease.held]
        assert len(holders) <= 1, holders
        return holders[0] if holders else ""

    async def wait_until(self, condition, seconds):
        """Wait until `condition` returns true; return the elapsed seconds."""
        started_at = clock.now()
        while not condition():
            assert clock.now() - started_at < seconds, f"not met within {seconds} s"
            await anyio.sleep(0.02)
        return clock.now() - started_at

    def all_serve(self, version):
        return all(u.version == version and not u.busy for u in self.upstreams.values())

    def false_crashes(self):
        """Return how many servers each VM saw crash, for days on which none did."""
        seen = {vm.name: vm.state.crashes.counts for vm in self.vms.values()}
        return {
            name: counts["server_crashes_total"]
            for name, counts in seen.items()
            if counts["server_crashes_total"]
        }

    def arrived_orders(self):
        """Return all orders that upstreams received, accepted or not, by time."""
        arrived = [order for upstream in self.upstreams.values() for order in upstream.arrivals]
        return sorted(arrived, key=lambda order: order.at)

    def orders(self):
        """Return all orders that upstreams accepted, by time."""
        accepted = [order for upstream in self.upstreams.values() for order in upstream.orders]
        return sorted(accepted, key=lambda order: order.at)


def make_deployment(version):
    engine = deployment.Engine(8, 1000, 8, 1e9, (MODEL,))
    services = [deployment.Service(SERVICE, 100, engine)]
    return deployment.Deployment(version, [], services, [], deployment.RequestLimits(), False)
