"""One VM follows each holder of prompts, and all VMs know what is held."""

import anyio

from hollyring.core import request_types

SALT = "m.1"
TOKENS = 100


async def begin(fleet):
    for name in fleet.names:
        fleet.start(name)
    await anyio.sleep(1.5)


def held(vm, upstream, part):
    """Return the tokens of a part that a VM believes an upstream to hold."""
    return vm.state.prefix_caches.cached_tokens(upstream, SALT, [request_types.Part(part, TOKENS)])


def knows(fleet, upstream, part):
    return all(held(vm, upstream, part) == TOKENS for vm in fleet.vms.values())


def forgot(fleet, upstream, part):
    return all(held(vm, upstream, part) == 0 for vm in fleet.vms.values())


def test_what_a_holder_takes_up_and_drops_is_known_to_all(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.upstreams["u-1"].hold(SALT, "part-x", TOKENS)
        await fleet.until(lambda: knows(fleet, "u-1", "part-x"), 0.6)
        fleet.upstreams["u-1"].hold(SALT, "part-x", 0)
        await fleet.until(lambda: forgot(fleet, "u-1", "part-x"), 0.6)

    simulate(play)


def test_each_holder_is_followed_by_one_vm(simulate):
    async def play(fleet):
        await begin(fleet)
        before = {name: u.event_calls for name, u in fleet.upstreams.items()}
        await anyio.sleep(10.0)
        for name, upstream in fleet.upstreams.items():
            # A call waits a second for news and is made again after a pause.
            assert 8 <= upstream.event_calls - before[name] <= 11

    simulate(play)


def test_another_vm_goes_on_when_the_follower_is_gone(simulate):
    async def play(fleet):
        await begin(fleet)
        for name in ("vm-1", "vm-2"):
            fleet.kill(name)
        await anyio.sleep(2.0)
        for name, upstream in fleet.upstreams.items():
            upstream.hold(SALT, f"of-{name}", TOKENS)
        await fleet.until(lambda: all(knows(fleet, u, f"of-{u}") for u in fleet.upstreams), 1.0)

    simulate(play)


def test_vm_that_starts_reads_what_is_held(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.upstreams["u-1"].hold(SALT, "part-x", TOKENS)
        await anyio.sleep(1.0)
        fleet.kill("vm-3")
        late = fleet.start("vm-3")
        await fleet.until(lambda: held(late, "u-1", "part-x") == TOKENS, 1.0)

    simulate(play)


def test_holder_that_started_again_holds_nothing(simulate):
    async def play(fleet):
        await begin(fleet)
        upstream = fleet.upstreams["u-1"]
        upstream.hold(SALT, "part-x", TOKENS)
        await fleet.until(lambda: knows(fleet, "u-1", "part-x"), 1.0)
        upstream.epoch = 2
        upstream.events = []
        await fleet.until(lambda: forgot(fleet, "u-1", "part-x"), 2.5)

    simulate(play)


def test_silent_holder_is_followed_again_when_it_answers(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.upstreams["u-1"].silent = True
        await anyio.sleep(5.0)
        fleet.upstreams["u-1"].silent = False
        fleet.upstreams["u-1"].hold(SALT, "part-x", TOKENS)
        await fleet.until(lambda: knows(fleet, "u-1", "part-x"), 4.0)

    simulate(play)
