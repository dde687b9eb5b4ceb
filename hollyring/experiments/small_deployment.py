"""Small deployment for measurements and tests with separate processes."""

from __future__ import annotations

from hollyring.configuration import documents, objects

KEY = "demo-key-kigoma"
ORGANISATION = "kigoma"
MODEL = "parish"
RATE_TOKENS_PER_SECOND = 1_000_000.0
BURST_TOKENS = 4_000_000
FAILURE_DOMAINS = "abc"


def document(base: int, vms: int = 2, engines: int = 2, services: int = 1) -> documents.Document:
    """Return a configuration with one organisation and ports assigned upwards from `base`."""
    address = "127.0.0.1:{}".format
    key = objects.Key("till", objects.key_digest(KEY))
    names = tuple(f"orders-{index}" for index in range(services))
    items: list[objects.Object] = [
        objects.Deployment("small"),
        objects.Organisation(ORGANISATION, RATE_TOKENS_PER_SECOND, BURST_TOKENS, keys=(key,)),
        objects.Model(MODEL, "1"),
    ]
    if names:
        items.append(objects.Route("/orders", names, ("POST",)))
    for index, name in enumerate(names):
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        url = f"http://{address(base + 500 + index)}"
        items.append(objects.Upstream(name, "service", url, "r", domain))
    for index in range(vms):
        ports = [address(base + offset + index) for offset in (0, 100, 200)]
        items.append(
            objects.VM(f"vm-{index}", "r", FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)], *ports)
        )
    for index in range(engines):
        url = f"http://{address(base + 300 + index)}"
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        items.append(objects.Upstream(f"engine-{index}", "engine", url, "r", domain, (MODEL,)))
    return documents.Document(items)
