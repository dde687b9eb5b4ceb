"""Whether a VM takes itself for cut off exactly while it is, with few probes."""

import heapq
import itertools
import os
import random

import pytest

from hollyring.routing import reachability, registry

SEEDS = int(os.environ.get("REACH_SEEDS", "20"))
LATE_SECONDS = 0.1
TIMEOUT_SECONDS = 0.25
DOMAINS = ("dar-a", "dar-b", "dar-c")


def entry(name, service="ls", domain="dar-a", leaving=False):
    return registry.Entry(name, service, f"{name}:1", domain, 8, leaving, 1, {})


class Network:
    """Upstreams and the path to them, on a driven clock.

    `cut` is how connections to all upstreams fail (``""``, ``"refused"`` or ``"hang"``); `down`
    are the names of upstreams that refuse, `frozen` of those that do not answer.
    """

    def __init__(self, services=("ls",), upstreams=24, vm="vm-1"):
        self.registry = registry.Registry()
        for service, number in itertools.product(services, range(upstreams)):
            name = f"{service}-{number}"
            self.registry.put(entry(name, service, DOMAINS[number % len(DOMAINS)]))
        self.reachability = reachability.Reachability(self.registry, vm)
        self.now = 100.0
        self.cut = ""
        self.down = set()
        self.frozen = set()
        self.probes = []
        self.events = []
        self.numbers = itertools.count()

    def connect(self, name):
        """Open a connection, as a request or a probe does."""
        upstream = self.registry.get(name)
        if self.cut == "hang" or name in self.frozen:
            self._later(LATE_SECONDS, self.reachability.record_late, upstream)
            self._later(TIMEOUT_SECONDS, self.reachability.record_failed, upstream)
        elif self.cut or name in self.down:
            self._later(0.002, self.reachability.record_failed, upstream)
        else:
            self._later(0.003, self.reachability.record_connected, upstream)

    def reset_open(self):
        """Reset all open connections."""
        for upstream in self.registry.upstreams.values():
            self.reachability.record_failed(upstream, self.now)

    def receive(self, name):
        """Receive bytes on an open connection."""
        self.registry.get(name).record_activity(self.now)

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while True:
            event_at = self.events[0][0] if self.events else float("inf")
            due_at = min(self.reachability.due_at, event_at)
            if due_at > end:
                break
            self.now = max(self.now, due_at)
            if event_at <= due_at:
                _, _, record, upstream = heapq.heappop(self.events)
                record(upstream, self.now)
                continue
            for probe in self.reachability.take_probes(self.now):
                self.probes.append((self.now, probe.upstream))
                self.connect(probe.upstream)
        self.now = end

    def cut_off(self, service="ls"):
        return self.reachability.is_cut_off(service)

    def _later(self, seconds, record, upstream):
        event = (self.now + seconds, next(self.numbers), record, upstream)
        heapq.heappush(self.events, event)


@pytest.mark.parametrize("form", ["refused", "hang"])
@pytest.mark.parametrize("upstreams", [2, 9, 24, 39])
def test_cut_is_noticed_within_half_a_second_of_its_first_sign(form, upstreams):
    network = Network(upstreams=upstreams)
    network.run(3.0)
    assert network.probes == []
    network.cut = form
    network.connect("ls-0")
    network.run(0.5)
    assert network.cut_off()
    assert network.reachability.unreachable_services == ["ls"]


def test_reset_of_the_open_connections_shows_a_cut_at_once():
    network = Network()
    network.cut = "refused"
    network.reset_open()
    network.run(0.05)
    assert network.cut_off()


@pytest.mark.parametrize("form", ["refused", "hang"])
def test_end_of_a_cut_is_noticed_as_fast(form):
    network = Network()
    network.cut = form
    network.connect("ls-0")
    network.run(8.0)
    assert network.cut_off()
    network.cut = ""
    network.run(0.5)
    assert not network.cut_off()
    assert not network.reachability.is_any_suspected
    probes = len(network.probes)
    network.run(5.0)
    assert len(network.probes) == probes


def test_bytes_on_open_connections_do_not_hide_that_new_ones_are_refused():
    network = Network()
    network.cut = "refused"
    network.connect("ls-0")
    for _ in range(20):
        network.run(0.1)
        network.receive("ls-5")
    assert not network.cut_off()
    assert not network.reachability.takes_connections("ls")
    assert network.reachability.unreachable_services == ["ls"]


def test_only_requests_with_a_free_connection_are_sent_while_new_ones_are_refused():
    network = Network()
    free = {"ls-5", "ls-7"}
    network.reachability.set_free_connections(lambda upstream: upstream.name in free)
    network.cut = "refused"
    network.connect("ls-0")
    network.run(0.1)
    assert network.cut_off()
    network.receive("ls-5")
    network.run(0.3)
    assert not network.cut_off()
    sent = [u for u in network.registry.of_service("ls") if network.reachability.may_send(u)]
    assert {upstream.name for upstream in sent} == free
    assert not network.reachability.open_may_hang("ls")
    free.clear()
    assert network.cut_off()


@pytest.mark.parametrize("form", ["refused", "hang"])
def test_open_connections_may_hang_from_the_first_sign_to_the_end_of_a_cut(form):
    network = Network()
    assert not network.reachability.open_may_hang("ls")
    network.cut = form
    network.connect("ls-0")
    network.run(0.1)
    assert network.reachability.open_may_hang("ls")
    network.run(1.0)
    assert network.reachability.open_may_hang("ls")
    network.cut = ""
    network.run(0.5)
    assert not network.reachability.open_may_hang("ls")


@pytest.mark.parametrize("down", ["one", "all"])
def test_upstreams_that_are_down_are_told_from_a_cut_by_other_services(down):
    network = Network(services=("ls", "hunt"), upstreams=3)
    network.down = {"ls-0"} if down == "one" else {"ls-0", "ls-1", "ls-2"}
    network.connect("ls-0")
    assert not network.reachability.may_be_cut_off("ls")
    network.run(0.002)
    assert network.reachability.may_be_cut_off("ls")
    network.run(0.5)
    assert network.cut_off() == (down == "all")
    assert not network.reachability.may_be_cut_off("ls")


@pytest.mark.parametrize("down", [(), ("ls-0",)])
def test_slow_connections_are_no_cut_while_bytes_arrive_on_open_ones(down):
    """As on a full link, or at upstreams whose queues of new connections are full."""
    network = Network()
    network.cut = "hang"
    network.down = set(down)
    for turn in range(60):
        if turn % 5 == 0:
            network.connect(f"ls-{turn % 24}")
        network.run(0.05)
        network.receive(f"ls-{turn % 7}")
        assert network.reachability.unreachable_services == []


def test_vm_is_cut_off_once_the_open_connections_have_ended_too():
    network = Network()
    network.cut = "refused"
    network.connect("ls-0")
    network.run(0.1)
    network.receive("ls-5")
    network.run(0.4)
    assert not network.cut_off()
    network.run(0.6)
    assert network.cut_off()


@pytest.mark.parametrize("fault", ["down", "frozen"])
def test_one_failed_upstream_is_no_cut(fault):
    network = Network(upstreams=2)
    getattr(network, fault).add("ls-0")
    for _ in range(30):
        network.connect("ls-0")
        network.run(0.1)
        assert not network.cut_off()
    assert len(network.probes) <= 3


@pytest.mark.parametrize("fault", ["down", "frozen"])
def test_failure_domain_of_upstreams_that_fails_is_no_cut(fault):
    network = Network(upstreams=24)
    lost = [u.name for u in network.registry.upstreams.values() if u.entry.domain == "dar-a"]
    getattr(network, fault).update(lost)
    for _ in range(5):
        for name in lost:
            network.connect(name)
        network.run(0.4)
        assert not network.cut_off()


def test_rolling_restart_is_no_cut():
    network = Network(upstreams=6)
    for name in list(network.registry.upstreams):
        network.down = {name}
        network.connect(name)
        network.run(1.0)
        assert not network.cut_off()


def test_restart_of_the_only_upstream_of_a_service_is_no_cut():
    network = Network(services=("ls", "hunt"), upstreams=3)
    network.registry.put(entry("solo-0", "solo"))
    network.down = {"solo-0"}
    for _ in range(30):
        network.connect("solo-0")
        network.run(0.1)
        assert not network.cut_off("solo")
    assert len(network.probes) <= 2 * reachability.FIRST_PROBES


def test_cut_from_the_only_upstream_of_a_service_shows_at_the_other_services():
    network = Network(services=("ls", "hunt"), upstreams=3)
    network.registry.put(entry("solo-0", "solo"))
    network.cut = "refused"
    network.connect("solo-0")
    network.run(0.5)
    assert network.reachability.unreachable_services == ["hunt", "ls", "solo"]


def test_only_upstream_of_all_is_never_a_cut():
    network = Network(upstreams=1)
    network.down = {"ls-0"}
    for _ in range(10):
        network.connect("ls-0")
        network.run(0.3)
        assert not network.cut_off()


def test_cut_that_one_service_shows_is_noticed_for_the_others_too():
    network = Network(services=("ls", "hunt", "chat"), upstreams=6)
    network.cut = "hang"
    network.connect("ls-0")
    network.run(1.0)
    assert network.reachability.unreachable_services == ["chat", "hunt", "ls"]


def test_service_without_upstreams_is_not_cut_off():
    network = Network(upstreams=3)
    network.cut = "refused"
    network.connect("ls-0")
    network.run(0.5)
    assert network.cut_off()
    for name in list(network.registry.upstreams):
        network.registry.remove(name)
    network.run(0.5)
    assert not network.cut_off()
    assert not network.reachability.is_any_suspected


def test_process_that_was_paused_does_not_take_unread_answers_for_silence():
    network = Network(upstreams=6)
    network.frozen = {"ls-0"}
    network.connect("ls-0")
    network.run(0.1)
    assert network.reachability.is_any_suspected
    network.events = []
    network.now += 5.0
    assert network.reachability.take_probes(network.now) == []
    network.reachability.record_connected(network.registry.get("ls-1"), network.now + 0.001)
    network.run(1.0)
    assert not network.cut_off()


def test_vms_probe_different_upstreams():
    first_probes = set()
    for number in range(20):
        network = Network(vm=f"vm-{number}")
        network.cut = "hang"
        network.connect("ls-0")
        network.run(0.1)
        first_probes.update(name for _, name in network.probes)
    assert len(first_probes) >= 15


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_faults_and_cuts(seed):
    """No false cut, each cut noticed, probes bounded, and none once all is well."""
    rng = random.Random(seed)
    services = ("ls", "hunt", "chat")[: rng.randint(1, 3)]
    network = Network(services, rng.choice([3, 9, 24, 39]), f"vm-{seed}")
    names = list(network.registry.upstreams)
    since = faulty_since = network.now
    for _ in range(400):
        if rng.random() < 0.05:
            network.cut = "" if network.cut else rng.choice(["refused", "hang"])
            since = network.now
            if network.cut == "refused" and rng.random() < 0.5:
                network.reset_open()
        if network.now - faulty_since > 1.0 and rng.random() < 0.3:
            faulty_since = network.now
            network.down = set(rng.sample(names, len(names) // 9))
            network.frozen = set(rng.sample(names, len(names) // 9))
        for service in services:
            network.connect(rng.choice([n for n in names if n.startswith(service)]))
        network.run(rng.choice([0.02, 0.05, 0.1]))
        for service in services:
            # A suspicion that was put off, its two rounds, and the request that shows the cut.
            if network.now - since > 1.5:
                assert network.cut_off(service) == bool(network.cut), (seed, network.now)
    for at, _ in network.probes:
        in_second = sum(at <= other < at + 1.0 for other, _ in network.probes)
        assert in_second <= reachability.PROBE_BURST + reachability.PROBES_PER_SECOND
    network.cut, network.down, network.frozen = "", set(), set()
    network.run(2.0)
    assert not network.reachability.is_any_suspected
    probes = len(network.probes)
    network.run(10.0)
    assert len(network.probes) == probes


@pytest.mark.parametrize("period", [0.05, 0.2, 0.7, 1.5])
def test_flapping_path_causes_no_storm_of_probes(period):
    network = Network(services=("ls", "hunt", "chat", "plain"), upstreams=39)
    started_at = network.now
    for turn in range(int(20.0 / period)):
        network.cut = "refused" if turn % 2 else ""
        if network.cut:
            network.reset_open()
        for service in ("ls", "hunt", "chat", "plain"):
            network.connect(f"{service}-{turn % 39}")
        network.run(period)
    seconds = network.now - started_at
    assert len(network.probes) <= reachability.PROBE_BURST + seconds * 30.0
