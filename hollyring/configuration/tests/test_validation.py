import pytest

from hollyring.configuration import errors, objects, validation

DIGEST = objects.key_digest("demo-key-kigoma")
KEY = objects.Key("till-1", DIGEST)


def engine(name="e-1", port=9001, **fields):
    fields = {"models": ("parish-7b",), **fields}
    return objects.Upstream(name, "engine", f"http://127.0.0.1:{port}", "dar", "dar-1", **fields)


def vm(name="vm-0", caller="127.0.0.1:1", peer="127.0.0.1:2", admin="127.0.0.1:3"):
    return objects.VM(name, "dar", "dar-1", caller, peer, admin)


VALID = [
    objects.Deployment("bohari", 2),
    objects.Model("parish-7b", "3"),
    objects.Adapter("feast", "parish-7b", "1"),
    objects.Organisation("kigoma", 400.0, 40_000, keys=(KEY,), models=("parish-7b",)),
    engine(),
    objects.Upstream("orders-1", "service", "http://127.0.0.1:9100", "dar", "dar-1"),
    objects.Upstream("cache", "cache_store", "http://127.0.0.1:9200", "dar", "dar-1"),
    objects.Route("/orders", ("orders-1",), ("POST",)),
    vm(),
]
INVALID = {
    "two deployments": (objects.Deployment("verrerie"), "exactly one deployment"),
    "no loads": (objects.Deployment("bohari", 0), "concurrent_loads: 0: allowed: 1 or more"),
    "same object twice": (objects.Model("parish-7b", "4"), "model/parish-7b: declared 2 times"),
    "small burst": (objects.Organisation("o", 1.0, 5), "organisation/o.burst: 5: allowed: 1024"),
    "no rate": (objects.Organisation("o", 0.0, 5000), "organisation/o.rate: 0.0: allowed: more"),
    "no weight": (objects.Organisation("o", 1.0, 5000, 0.0), "organisation/o.weight: 0.0"),
    "nan rate": (objects.Organisation("o", float("nan"), 5000), "organisation/o.rate: nan"),
    "invalid name": (objects.Model("a b", "1"), 'model/a b.name: "a b": allowed: letters'),
    "unknown model": (
        objects.Organisation("o", 1.0, 5000, models=("x",)),
        'organisation/o.models: "x": allowed: a declared model: ',
    ),
    "same key twice": (
        objects.Organisation("o", 1.0, 5000, keys=(objects.Key("till-2", DIGEST),)),
        "organisation/o.keys[0].digest: (hidden): allowed: a key granted once",
    ),
    "key identity twice": (
        objects.Organisation("o", 1.0, 5000, keys=(objects.Key("a", "0" * 64),) * 2),
        'organisation/o.keys[0].identity: "a": allowed: once',
    ),
    "invalid digest": (
        objects.Organisation("o", 1.0, 5000, keys=(objects.Key("a", "secret"),)),
        "organisation/o.keys[0].digest: (hidden): allowed: SHA-256",
    ),
    "adapter of undeclared model": (objects.Adapter("a", "x", "1"), 'adapter/a.model: "x"'),
    "engine of undeclared model": (engine("e-2", 9002, models=("x",)), 'upstream/e-2.models: "x"'),
    "engine without models": (engine("e-2", 9002, models=()), "upstream/e-2.models: []"),
    "duplicate address": (engine("e-2", 9001), "upstream/e-2.address:"),
    "invalid address": (
        objects.Upstream("s", "service", "http://store:80", "dar", "dar-1"),
        'upstream/s.address: "http://store:80": allowed: "http://IP:PORT"',
    ),
    "port too large": (vm("vm-1", "127.0.0.1:65536", "127.0.0.1:5", "127.0.0.1:6"), "caller_addr"),
    "service with models": (
        objects.Upstream("s", "service", "http://127.0.0.1:5", "d", "d", ("parish-7b",)),
        "upstream/s.models: ['parish-7b']: allowed: none for a service",
    ),
    "service with fencing": (
        objects.Upstream("s", "service", "http://127.0.0.1:5", "d", "d", checks_fencing=True),
        "upstream/s.checks_fencing",
    ),
    "service with role": (
        objects.Upstream("s", "service", "http://127.0.0.1:5", "d", "d", role="decode"),
        "upstream/s.role",
    ),
    "two VMs at one address": (vm("vm-1"), "vm/vm-1.caller_address: "),
    "route to undeclared upstream": (objects.Route("/x", ("gone",)), 'route//x.upstreams: "gone"'),
    "route to an engine": (objects.Route("/x", ("e-1",)), 'route//x.upstreams: "e-1"'),
    "route without services": (objects.Route("/x", ()), "route//x.upstreams: []"),
    "route with unknown method": (objects.Route("/x", ("orders-1",), ("BREW",)), "methods"),
    "route without methods": (objects.Route("/x", ("orders-1",), ()), "route//x.methods: []"),
    "route under reserved path": (objects.Route("/v1/chat", ("orders-1",)), "not under /v1"),
    "route without leading slash": (objects.Route("orders", ("orders-1",)), "path_prefix"),
    "open route that is not idempotent": (
        objects.Route("/x", ("orders-1",), ("POST",), open_to_all=True),
        "route//x.open_to_all",
    ),
}


def test_valid_configuration_has_no_findings():
    assert validation.validate(VALID) == []


@pytest.mark.parametrize("case", INVALID)
def test_error_is_reported(case):
    item, expected = INVALID[case]
    findings = validation.validate([*VALID, item])
    assert any(expected in finding for finding in findings), findings


def test_all_errors_are_reported_at_once():
    items = [item for item, _ in INVALID.values()]
    findings = validation.validate([*VALID, *items])
    assert [f for f, (_, part) in INVALID.items() if not any(part in x for x in findings)] == []


def test_secret_in_place_of_digest_is_hidden():
    item = objects.Organisation("o", 1.0, 5000, keys=(objects.Key("a", "my-secret"),))
    assert "my-secret" not in " ".join(validation.validate([*VALID, item]))


def test_deployment_is_required():
    with pytest.raises(errors.InvalidConfigurationError, match="deployment: missing"):
        validation.require_valid(VALID[1:])
