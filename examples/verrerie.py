"""Deployment of Verrerie Retour Maurice.

Run it to print the configuration: `python examples/verrerie.py [BASE_PORT] > verrerie.json`.
All addresses are on loopback, with ports counted from BASE_PORT. The keys are for demonstration
only; a real declaration gives digests, or reads the secrets from the operator's secret store.
"""

import sys

from hollyring import declaration

DEFAULT_BASE_PORT = 22_000
CALLER, PEER, ADMIN, ENGINE, CACHE_STORE, SERVICE = 0, 100, 200, 300, 400, 500
"""Port offsets of VMs and upstreams from the base port."""

REGION = "mauritius"
FAILURE_DOMAINS = ["mru-1", "mru-2", "mru-3"]
ORGANISATIONS = {
    # name: (tokens a second, burst in tokens)
    "port-louis": (300_000.0, 3_000_000),
    "curepipe": (200_000.0, 2_000_000),
    "mahebourg": (40_000.0, 400_000),
    "souillac": (25_000.0, 250_000),
    "rodrigues": (15_000.0, 150_000),
}


def declare(base_port: int) -> declaration.Deployment:
    """Return the deployment: 9 VMs, 9 inference servers, a KV cache store, 3 ledger services."""

    def address(offset: int, index: int) -> str:
        return f"127.0.0.1:{base_port + offset + index}"

    verrerie = declaration.deployment("verrerie", concurrent_loads=3)
    for name, (rate, burst) in ORGANISATIONS.items():
        verrerie.organisation(name, rate=rate, burst=burst)
        verrerie.key(name, f"{name}-demo", secret=f"demo-key-{name}")
    verrerie.model("manifest-reader", version="1")
    for index in range(9):
        domain = FAILURE_DOMAINS[index % 3]
        ports = [address(offset, index) for offset in (CALLER, PEER, ADMIN)]
        verrerie.vm(f"vm-{index}", REGION, domain, *ports)
    for index in range(9):
        verrerie.upstream(
            f"engine-{index}",
            "engine",
            "http://" + address(ENGINE, index),
            REGION,
            FAILURE_DOMAINS[index % 3],
            models=["manifest-reader"],
            checks_fencing=index % 2 == 0,
        )
    store = "http://" + address(CACHE_STORE, 0)
    verrerie.upstream("cache-0", "cache_store", store, REGION, FAILURE_DOMAINS[0])
    servers = [f"ledger-{index}" for index in range(3)]
    for index, name in enumerate(servers):
        server = "http://" + address(SERVICE, index)
        verrerie.upstream(name, "service", server, REGION, FAILURE_DOMAINS[index])
    verrerie.route("/ledger/credits", servers, methods=["POST"], idempotent=False)
    verrerie.route("/ledger/balance", servers, methods=["GET"], idempotent=True)
    return verrerie


if __name__ == "__main__":
    declare(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_BASE_PORT).print()
