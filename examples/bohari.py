"""Deployment of Bohari la Mishumaa ya Ibada.

Run it to print the configuration: `python examples/bohari.py [BASE_PORT] > bohari.json`.
All addresses are on loopback, with ports counted from BASE_PORT. The keys are for demonstration
only; a real declaration gives digests, or reads the secrets from the operator's secret store.
"""

import sys

from hollyring import declaration

DEFAULT_BASE_PORT = 20_000
CALLER, PEER, ADMIN, ENGINE, CACHE_STORE, SERVICE = 0, 100, 200, 300, 400, 500
"""Port offsets of VMs and upstreams from the base port."""

REGION = "dar-es-salaam"
FAILURE_DOMAINS = ["dar-1", "dar-2", "dar-3"]
ORGANISATIONS = {
    # name: (tokens a second, burst in tokens)
    "kigoma": (200_000.0, 2_000_000),
    "tabora": (150_000.0, 1_500_000),
    "dodoma": (80_000.0, 800_000),
    "lindi": (60_000.0, 600_000),
    "mtwara": (60_000.0, 600_000),
}


def declare(base_port: int) -> declaration.Deployment:
    """Return the deployment: 9 VMs, 6 inference servers, a KV cache store, 3 order services."""

    def address(offset: int, index: int) -> str:
        return f"127.0.0.1:{base_port + offset + index}"

    bohari = declaration.deployment("bohari", concurrent_loads=2)
    for name, (rate, burst) in ORGANISATIONS.items():
        bohari.organisation(name, rate=rate, burst=burst)
        bohari.key(name, f"{name}-demo", secret=f"demo-key-{name}")
    bohari.model("parish-assistant", version="1")
    for index in range(9):
        domain = FAILURE_DOMAINS[index % 3]
        ports = [address(offset, index) for offset in (CALLER, PEER, ADMIN)]
        bohari.vm(f"vm-{index}", REGION, domain, *ports)
    for index in range(6):
        bohari.upstream(
            f"engine-{index}",
            "engine",
            "http://" + address(ENGINE, index),
            REGION,
            FAILURE_DOMAINS[index % 3],
            models=["parish-assistant"],
            checks_fencing=index % 2 == 0,
        )
    store = "http://" + address(CACHE_STORE, 0)
    bohari.upstream("cache-0", "cache_store", store, REGION, FAILURE_DOMAINS[0])
    servers = [f"orders-{index}" for index in range(3)]
    for index, name in enumerate(servers):
        server = "http://" + address(SERVICE, index)
        bohari.upstream(name, "service", server, REGION, FAILURE_DOMAINS[index])
    bohari.route("/orders", servers, methods=["POST"], idempotent=False)
    bohari.route("/orders/status", servers, methods=["GET"], idempotent=True)
    bohari.route("/opening-hours", servers, methods=["GET"], idempotent=True, open_to_all=True)
    return bohari


if __name__ == "__main__":
    declare(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_BASE_PORT).print()
