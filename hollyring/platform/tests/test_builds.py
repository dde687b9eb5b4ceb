"""Promises to callers while VM processes of two builds run side by side; see `builds`.

By hand, `OLD_BUILD` names the checkout of the other build, `SOAK_FIRST_SEED`, `SOAK_SEEDS`,
`SOAK_VMS` and `SOAK_CALLERS` the seeds and the size of the replacements.
"""

import anyio
import httpcore
import pytest

from hollyring.platform.tests import (
    builds,
    test_process,
    test_resumed_streams,
    test_soak,
    test_unreachable_upstreams,
    test_unstated_ends,
)

pytestmark = pytest.mark.xdist_group("platform-builds")

start_cut_fleet = test_unreachable_upstreams.start_fleet
Cut = test_unreachable_upstreams.Cut
DOMAINS = ["dar-a", "dar-a"]
KINDS = {
    "unsafe": {"kind": "unsafe"},
    "safe": {"kind": "safe", "max_attempts": 2},
    "streaming": {"kind": "streaming"},
    "resumable": {"kind": "streaming", "resumable": True, "max_attempts": 2},
}
"""Fields of the routes by kind of request."""


@pytest.fixture(params=builds.DIRECTIONS.values(), ids=builds.DIRECTIONS)
def direction(request):
    """Return the checkouts that run before and after."""
    return request.param


def check_kept_keys(run):
    """Keys that came or went longer ago than a change takes are taken, or refused, everywhere."""
    for call in run.calls:
        known = [call.key in one.keys for one in run.configurations.in_force(call.sent_at)]
        if call.key != test_soak.soak_configurations.KEY and call.status:
            assert any(known) or call.status in (401, 403, 503), test_soak.describe(run, call)
            assert not all(known) or call.status not in (401, 403), test_soak.describe(run, call)


@pytest.mark.anyio
@pytest.mark.parametrize("seed", test_soak.SEEDS)
async def test_no_request_is_lost_or_run_twice_while_all_vms_are_replaced(
    direction, seed, tmp_path, capfd
):
    size = {"vms": test_soak.VMS, "callers": test_soak.CALLERS}
    run = await builds.RollingSoak(tmp_path, seed, *direction, **size).run()
    for check in (*test_soak.CHECKS, check_kept_keys):
        with test_soak.failures_printed(capfd, seed, check.__name__):
            check(run)


def config_of_kinds():
    """Return a configuration with a route of each kind of request."""
    base = test_resumed_streams.CONFIG
    plain = {k: v for k, v in base["routes"][0].items() if k not in ("resumable", "max_attempts")}
    routes = [plain | f | {"name": n, "prefix": f"/{n}/"} for n, f in KINDS.items()]
    return base | {"version": 9, "routes": routes}


@pytest.fixture
async def start_forwarding(start_cut_fleet, direction):
    """Yield a function that starts a VM that is cut off and one of the other build."""

    async def start(servers=()):
        fleet = await start_cut_fleet(2, DOMAINS, direction, servers)
        await fleet.store.put("op/config", config_of_kinds())
        await anyio.sleep(test_process.CONFIGURATION_SECONDS)
        for vm in fleet.vms:
            await send(vm, "safe", f"first-{vm.log_path.stem}")
        await fleet.cut(fleet.vms[0], Cut.RESET)
        await anyio.sleep(test_unreachable_upstreams.CONTACT_SECONDS)
        for number in range(20):
            await send(fleet.vms[0], "safe", f"cut-{number}")
        return fleet

    return start


async def send(vm, kind, request_id):
    """Return the status, the headers and the body that a caller gets; status 0 if it is cut."""
    headers = [(b"host", b"h.example"), test_process.KEY, (b"x-request-id", request_id.encode())]
    if "stream" in KINDS[kind]["kind"]:
        headers += [
            (b"x-model", b"m"),
            (b"x-token-counts", b"10,30"),
            (b"x-prompt-prefix", b"a:10"),
        ]
    url = f"{vm.caller_url}/{kind}/x"
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request("POST", url, headers=headers, content=b"body")
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return 0, {}, b""
        return response.status, {n.lower(): v for n, v in response.headers}, response.content


def runs(fleet, request_id):
    return [
        request
        for server in fleet.servers
        for request in server.requests
        if request.headers.get("x-request-id") == request_id
    ]


@pytest.mark.anyio
async def test_each_kind_of_request_is_forwarded_to_the_other_build(start_forwarding):
    fleet = await start_forwarding()
    numbers = range(1, test_unreachable_upstreams.EVENTS + 1)
    events = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)
    for kind in KINDS:
        for number in range(3):
            request_id = f"{kind}-{number}"
            status, _, body = await send(fleet.vms[0], kind, request_id)
            assert (status, len(runs(fleet, request_id))) == (200, 1)
            assert body == events if "stream" in KINDS[kind]["kind"] else body.startswith(b"done")
    forwarded = {line["request"] for line in fleet.forwarded()}
    assert {f"{kind}-{n}" for kind in KINDS for n in range(3)} <= forwarded


@pytest.mark.anyio
@pytest.mark.parametrize("kind", KINDS)
async def test_refusal_through_the_other_build_says_not_run(start_forwarding, kind):
    fleet = await start_forwarding()
    for server in fleet.servers:
        server.back_off(10.0)
    status, headers, _ = await send(fleet.vms[0], kind, "refused")
    assert status == 503
    assert b"retry-after" in headers


@pytest.mark.anyio
@pytest.mark.parametrize("direction", [(builds.NEW, builds.OLD)], ids=["rollback"])
async def test_half_an_answer_through_an_old_build_is_not_shown_as_whole(start_forwarding):
    servers = [test_unstated_ends.EndlessServer(b"hal", name=f"i-{n}") for n in range(2)]
    fleet = await start_forwarding(servers)
    status, headers, body = await send(fleet.vms[0], "unsafe", "half")
    assert (status, body, len(runs(fleet, "half"))) == (200, b"hal", 1)
    assert b"content-length" not in headers
    assert b"transfer-encoding" not in headers
