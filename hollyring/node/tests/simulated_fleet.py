"""VMs of the real parts over a store, links and upstreams in memory.

A test runs for seconds of simulated time (`simulated_time`) in milliseconds, always the same way.
"""

import dataclasses
import math
import pickle

import anyio

from hollyring.configuration import deployment
from hollyring.fleet import messages
from hollyring.limits import service_retry_budgets
from hollyring.membership import heartbeat
from hollyring.node import (
    cache_watcher,
    clock,
    heartbeat_sender,
    http_connection,
    interfaces,
    rollout_controller,
    state,
    store_watcher,
)
from hollyring.node.tests import simulated_store
from hollyring.routing import registry

PREFIXES = interfaces.StoreKeys("op/", "servers/", "vm/", "vm/.orders")
LOAD_SECONDS = 1.5
MODEL = "m"
SERVICE = "ls"
RETRIES = service_retry_budgets.RetryRules(0.2, 50.0, 10.0)
VERSION_SECONDS = 13.5


class Documents:
    """Implements `interfaces.StoreCodec` for values that are pickled objects of the product."""

    def decode_deployment(self, item):
        return self._read(item, deployment.Deployment)

    def decode_wanted_version(self, item):
        return self._read(item, interfaces.WantedVersion)

    def decode_upstream(self, item):
        return self._read(item, registry.Entry)

    def decode_vm(self, item):
        return self._read(item, heartbeat.VmInfo)

    def encode_vm(self, place):
        return pickle.dumps(place)

    def _read(self, item, type_):
        try:
            found = pickle.loads(item.value)
        except pickle.UnpicklingError:
            return None
        return found if isinstance(found, type_) else None


@dataclasses.dataclass
class TakenOrder:
    at: float
    holder: str
    fencing: int
    version: int


class Upstream:
    """A language server that takes orders and tells cache events."""

    def __init__(self, name, version=1):
        self.entry = registry.Entry(name, SERVICE, f"{name}:1", "a", 8, False, 1, {MODEL: version})
        self.version = version
        self.accepted = 0
        self.orders = []
        self.loading_until = -math.inf
        self.silent = False
        self.epoch = 1
        self.events = []
        self.event_calls = 0

    @property
    def busy(self):
        return clock.now() < self.loading_until

    def report(self, upstream, life, at):
        shown = [] if self.busy else [messages.ModelVersion(MODEL, str(self.version))]
        return messages.UpstreamState(
            upstream, life, shown, [], "both", False, at, self.busy, self.accepted
        )

    def take(self, order, holder):
        if order.expected != self.accepted or self.busy:
            return 409
        self.accepted += 1
        self.version = int(order.change.version)
        self.loading_until = clock.now() + LOAD_SECONDS
        self.orders.append(TakenOrder(clock.now(), holder, order.fencing, self.version))
        return 202

    def hold(self, salt, part, tokens):
        self.events.append(heartbeat.CachedPart(salt, part, tokens))


@dataclasses.dataclass
class _Report:
    pass


@dataclasses.dataclass
class _Order:
    order: messages.Order
    holder: str


@dataclasses.dataclass
class _Events:
    after: int
    seconds: float


class Codec:
    """Implements what the parts need of `interfaces.UpstreamCodec`, with pickled objects."""

    def encode_report_request(self, address):
        return pickle.dumps(_Report())

    def decode_report(self, upstream, life, body, at):
        return pickle.loads(body).report(upstream, life, at) if body else None

    def encode_order(self, address, order, holder):
        return pickle.dumps(_Order(order, holder))

    def decode_order_outcome(self, status):
        if status == 202:
            return messages.Outcome.ACCEPTED
        return messages.Outcome.CONFLICT

    def encode_events_request(self, address, after, seconds):
        return pickle.dumps(_Events(after, seconds))

    def decode_events(self, body):
        return pickle.loads(body)


class Links:
    """Connections to upstreams, as far as the parts call them."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def call(self, address, request, seconds):
        await anyio.sleep(simulated_store.CALL_SECONDS)
        upstream = self._fleet.upstreams.get(address.partition(":")[0])
        if upstream is None or upstream.silent:
            await anyio.sleep(seconds)
            raise http_connection.HttpConnectionError("no answer in time")
        match pickle.loads(request):
            case _Report():
                return http_connection.Response(200, [], pickle.dumps(upstream))
            case _Order(order, holder):
                return http_connection.Response(upstream.take(order, holder), [], b"")
            case _Events(after, wait):
                found = await self._events(upstream, after, wait)
                return http_connection.Response(200, [], pickle.dumps(found))

    async def _events(self, upstream, after, seconds):
        upstream.event_calls += 1
        end = clock.now() + seconds
        while len(upstream.events) <= after and clock.now() < end:
            await anyio.sleep(0.05)
        return interfaces.CacheEvents(
            upstream.epoch, len(upstream.events), False, upstream.events[after:]
        )


class PeerLinks:
    """Messages between VMs."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm

    def broadcast(self, addresses, message):
        for address in addresses:
            self._fleet.group.start_soon(self._deliver, address, message)

    async def call(self, address, message, seconds):
        await anyio.sleep(simulated_store.CALL_SECONDS)
        vm = self._reached(address)
        return vm.store_watcher.copy(message.prefix) if vm else None

    async def _deliver(self, address, message):
        await anyio.sleep(simulated_store.CALL_SECONDS)
        vm = self._reached(address)
        if vm is not None:
            vm.state.receive(message, clock.now())

    def _reached(self, address):
        name = address.partition(":")[0]
        if frozenset({name, self._vm}) in self._fleet.cuts:
            return None
        return self._fleet.vms.get(name)


class Vm:
    """One life of a VM."""

    def __init__(self, fleet, name, life):
        place = heartbeat.VmInfo(name, life, f"{name}:1", f"{name}:2", "a", "r")
        documents = Documents()
        client = simulated_store.StoreClient(fleet.store, name)
        codec = Codec()
        connections = Links(fleet)
        peers = PeerLinks(fleet, name)
        seeds = [f"{seed}:2" for seed in fleet.names]
        self.name = name
        self.begun = clock.now()
        self.state = state.State(place, documents, PREFIXES, RETRIES, VERSION_SECONDS)
        self.store_watcher = store_watcher.StoreWatcher(client, self.state, peers)
        self.heartbeats = heartbeat_sender.HeartbeatSender(
            self.state, peers, client, self.store_watcher, documents, seeds
        )
        self.rollouts = rollout_controller.RolloutController(
            self.state, client, self.store_watcher, codec, connections, self.heartbeats.send_now
        )
        self.cache_watcher = cache_watcher.CacheWatcher(self.state, codec, connections)
        self.scope = anyio.CancelScope()

    async def run(self):
        parts = [self.store_watcher.run, self.heartbeats.run, self.heartbeats.register]
        parts += [self.rollouts.run, self.cache_watcher.run]
        with self.scope:
            async with anyio.create_task_group() as group:
                for part in parts:
                    group.start_soon(part)


class Fleet:
    """VMs, a store and upstreams."""

    def __init__(self, group, names, upstreams):
        self.group = group
        self.names = names
        self.store = simulated_store.Store()
        self.vms = {}
        self.cuts = set()
        self.upstreams = {}
        self._lives = 0
        self.store.put("op/config", made_deployment(1))
        for name in upstreams:
            self.add_upstream(Upstream(name))
        group.start_soon(self.store.run)

    def add_upstream(self, upstream):
        self.upstreams[upstream.entry.name] = upstream
        self.store.put("servers/" + upstream.entry.name, upstream.entry)

    def start(self, name):
        self._lives += 1
        vm = self.vms[name] = Vm(self, name, self._lives)
        self.group.start_soon(vm.run)
        return vm

    def kill(self, name):
        """End a VM without notice."""
        self.vms.pop(name).scope.cancel()

    async def stop(self, name):
        """End a VM in an orderly way."""
        vm = self.vms[name]
        vm.state.leaving = True
        await vm.rollouts.stop()
        self.kill(name)

    def want(self, version):
        """Name a version of the model's weights, as the operator does."""
        wanted = interfaces.WantedVersion(MODEL, version, self.store.revision + 1)
        self.store.put(f"op/version/{MODEL}", wanted)

    def giver(self):
        """Return the name of the one VM that may give orders, empty for none."""
        holding = [vm.name for vm in self.vms.values() if vm.state.order_lease.held]
        assert len(holding) <= 1, holding
        return holding[0] if holding else ""

    async def until(self, met, seconds):
        """Wait until a condition is met; return the seconds that it took."""
        begun = clock.now()
        while not met():
            assert clock.now() - begun < seconds, f"not met within {seconds} s"
            await anyio.sleep(0.02)
        return clock.now() - begun

    def all_on(self, version):
        return all(u.version == version and not u.busy for u in self.upstreams.values())

    def orders(self):
        """Return all orders that upstreams took, in the order of time."""
        found = [order for upstream in self.upstreams.values() for order in upstream.orders]
        return sorted(found, key=lambda order: order.at)


def made_deployment(version):
    engine = deployment.Engine(8, 1000, 8, 1e9, (MODEL,))
    services = [deployment.Service(SERVICE, 100, engine)]
    return deployment.Deployment(version, [], services, [], deployment.RequestLimits(), False)
