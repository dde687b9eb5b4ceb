import anyio
import pytest

from hollyring.standins import cache_store, service

pytestmark = pytest.mark.anyio

HEADERS = [("X-Request-Id", "r1"), ("Idempotency-Key", "k1")]


@pytest.fixture
def orders():
    return service.Service("orders")


async def test_executions_are_counted(orders, caller):
    call, control = caller(orders.handle), caller(orders.handle_control)
    for _ in range(2):
        response = await call("POST", "/orders/kigoma", b"10 candles", HEADERS)
    assert response.json()["body"] == "10 candles"
    assert (await call("GET", "/executions")).json() == {"r1": 2}
    assert (await control("GET", "/idempotency")).json() == {"k1": 2}


@pytest.mark.parametrize(
    "kind, status, executions",
    [("lost_answer", 0, 1), ("cut", 0, 0), ("refuse", 503, 0), ("late_answer", 200, 1)],
)
async def test_faults_before_and_after_execution(
    orders, caller, inject_fault, kind, status, executions
):
    await inject_fault(orders, kind, count=1)
    call = caller(orders.handle)
    assert (await call("POST", "/orders", b"", HEADERS)).status == status
    assert (await call("GET", "/executions")).json().get("r1", 0) == executions
    assert (await call("POST", "/orders", b"", HEADERS)).status == 200


async def test_cache_store_evicts_oldest_block(caller):
    call = caller(cache_store.CacheStore(capacity=2).handle)
    for name in ("a", "b", "c"):
        await call("PUT", f"/blocks/{name}", name.encode())
    assert (await call("GET", "/blocks/a")).status == 404
    assert (await call("GET", "/blocks/c")).body == b"c"
    assert (await call("GET", "/has?blocks=a,b,c")).json() == {"present": ["b", "c"]}


async def test_concurrent_weight_loads_are_counted_and_slowed(caller):
    store = cache_store.CacheStore(weights_seconds=0.05, weights_concurrency=2)
    call = caller(store.handle)
    async with anyio.create_task_group() as group:
        for number in range(3):
            group.start_soon(call, "GET", f"/weights/parish/v{number}")
    assert store.counters["most_loading"] == 3
    assert store.loading_seconds(2) == store.loading_seconds(1)
    assert store.loading_seconds(4) == pytest.approx(2 * store.loading_seconds(2))
