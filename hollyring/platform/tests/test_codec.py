import json
import math

import pytest

from hollyring.configuration import freshness, mirror, store_revision
from hollyring.core import request_types
from hollyring.fleet import messages as fleet
from hollyring.membership import heartbeat
from hollyring.node import errors, exchanges, interfaces
from hollyring.platform import documents, ingress, settings, upstreams
from hollyring.routing import software_versions

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Jepu9.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 500,
            "priority": 1,
            "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 250,
        },
        {"name": "r-2", "host": "h", "prefix": "/", "kind": "unsafe", "timeout_ms": 1000}
        | {"service": "s2"},
        {"name": "r-3", "host": "h", "prefix": "/s/", "kind": "safe", "timeout_ms": 1000}
        | {"service": "s2"},
        {"name": "r-4", "host": "h", "prefix": "/t/", "kind": "streaming", "timeout_ms": 1000}
        | {"service": "s2", "resumable": False},
    ],
    "services": [
        {
            "name": "s1",
            "max_connections": 630,
            "engine": {
                "slots": 128,
                "kv_capacity": 128362,
                "kv_token_bytes": 18432,
                "link_mbps": 88000.0,
                "models": [{"name": "m"}],
            },
        },
        {"name": "s2", "max_connections": 110},
        {"name": "s3", "kv_store_addr": "1.2.3.4:5", "zone": "z", "kv_capacity": 9, "link_mbps": 5},
    ],
    "limits": {"idle_timeout_ms": 9000},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "isolated": True,
            "rate_per_s": 161655,
            "burst": 161655,
        }
    ],
}
SERVER = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 128,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "sequence": 4,
    "born": 1788706329104,
}


@pytest.fixture
def codec():
    return documents.DocumentCodec()


def make_item(key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return mirror.Item(key, data, store_revision.Revision(0, 5))


def test_configuration_is_decoded_with_units_converted(codec):
    config = codec.decode_deployment(make_item("op/config", CONFIG))
    route = config.route_for("jepu9.example", "/a/b")
    assert (route.retry_safety, route.timeout, route.target_latency) == (
        request_types.RetrySafety.RESUMABLE,
        4.0,
        0.5,
    )
    kinds = {
        name: config.route_for("h", path).retry_safety for name, path in [("u", "/x"), ("s", "/s/")]
    }
    assert kinds == {
        "u": request_types.RetrySafety.AT_MOST_ONCE,
        "s": request_types.RetrySafety.IDEMPOTENT,
    }
    assert config.route_for("h", "/t/").retry_safety is request_types.RetrySafety.AT_MOST_ONCE
    assert config.services["s1"].engine.kv_bits_per_token == 147456
    assert config.cache_stores()[0].address == "1.2.3.4:5"
    assert config.organisation_for_key("k").isolated
    assert config.limits.idle_seconds == 9.0


def test_configuration_without_tenants_requires_no_keys(codec):
    plain = {name: value for name, value in CONFIG.items() if name != "tenants"}
    assert not codec.decode_deployment(make_item("op/config", plain)).requires_keys


def test_wanted_version_is_decoded_only_from_its_own_keys(codec):
    wanted = make_item("op/version/m", {"model": "m", "version": 2})
    assert codec.decode_wanted_version(wanted) == interfaces.WantedVersion("m", 2, 5)
    assert codec.decode_wanted_version(make_item("op/config", CONFIG)) is None


@pytest.mark.parametrize(
    ("query", "domain"),
    [
        (b"name=h.example&region=r&zone=dar-a", "dar-a"),
        (b"name=h.example", ""),
        (b"zone=%zz&zone=dar%2Db", "dar-b"),
        (b"\xff=\xfe&zone", ""),
    ],
)
def test_failure_domain_of_a_caller_that_asks_for_addresses_is_decoded(query, domain):
    scope = {"path": "/hollyring/resolve", "query_string": query}
    assert ingress.is_entry_request(scope)
    assert ingress.decode_entry_domain(scope) == domain


def test_upstream_entry_is_decoded(codec):
    entry = codec.decode_upstream(make_item("servers/i-7", SERVER))
    assert (entry.name, entry.life, entry.versions) == ("i-7", 1788706329104, {"m": 3})


INVALID_SERVERS = [
    b"\xff\xfe",
    b"{}",
    b"[]",
    b'"text"',
    SERVER | {"state": "sleeping"},
    SERVER | {"address": 5},
    SERVER | {"address": "nowhere"},
    SERVER | {"slots": "many"},
    SERVER | {"service": ""},
    SERVER | {"models": [{"name": "m"}]},
    {name: value for name, value in SERVER.items() if name != "zone"},
    {name: value for name, value in SERVER.items() if name != "version"},
    {name: value for name, value in SERVER.items() if name != "slots"},
]


@pytest.mark.parametrize("port", ["0", "65536", "99999", "\u00b2", "\u0661"])
def test_upstream_entry_with_a_port_that_does_not_exist_is_ignored(codec, port):
    entry = SERVER | {"address": f"10.2.1.7:{port}"}
    assert codec.decode_upstream(make_item("servers/i-7", entry)) is None


@pytest.mark.parametrize("value", INVALID_SERVERS, ids=range(len(INVALID_SERVERS)))
def test_malformed_upstream_entry_is_ignored(codec, value):
    assert codec.decode_upstream(make_item("servers/i-7", value)) is None


def test_record_of_software_versions_round_trips_and_is_not_a_vm(codec):
    versions = {"chat": frozenset({"v1", "v2"}), "search": frozenset({"v1"})}
    record = software_versions.Record(2, versions)
    item = mirror.Item(
        documents.STORE_KEYS.software, codec.encode_software(record), store_revision.Revision(2, 5)
    )
    assert item.key.startswith(documents.STORE_KEYS.vms)
    assert codec.decode_software(item) == record
    assert codec.decode_vm(item) is None


@pytest.mark.parametrize("value", [b"", b"{}", b"[]", b'{"era":"1","versions":{}}', b"\xff"])
def test_malformed_record_of_software_versions_is_ignored(codec, value):
    item = make_item(documents.STORE_KEYS.software, value)
    assert codec.decode_software(item) is None


def test_vm_record_round_trips_and_order_lease_is_not_a_vm(codec):
    vm_info = heartbeat.VmInfo("vm-1", 7, "a:1", "a:2", "dar-a", "dar")
    assert codec.decode_vm(make_item("hollyring/vm/vm-1", codec.encode_vm(vm_info))) == vm_info
    assert codec.decode_vm(make_item("hollyring/vm/.orders", b"vm-1#7/3")) is None


SCOPE = {
    "method": "POST",
    "raw_path": b"/lepu270/2f%20x",
    "path": "/lepu270/2f x",
    "query_string": b"q=1",
    "headers": [
        (b"host", b"Jepu9.example:8606"),
        (b"x-request-id", b"9c41"),
        (b"last-event-id", b"12"),
        (b"x-model", b"m"),
        (b"x-token-counts", b"1460,80"),
        (b"x-prompt-prefix", b"5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
        (b"x-deadline-ms", b"4000"),
        (b"x-length-hint", b"33"),
        (b"authorization", b"Bearer wu3"),
    ],
}


def test_request_is_decoded():
    request = ingress.decode_request(SCOPE, b"body")
    assert (request.request_id, request.host, request.path) == (
        "9c41",
        "jepu9.example",
        "/lepu270/2f%20x",
    )
    assert request.target == b"/lepu270/2f%20x?q=1"
    assert (request.api_key, request.deadline_seconds, request.resume_after) == ("wu3", 4.0, 12)
    assert (request.prompt.prompt_tokens, request.prompt.output_tokens) == (1460, 80)
    assert request.prompt.expected_output_tokens == 33
    assert request.prompt.parts[1] == request_types.Part("91bd3f06", 410)


@pytest.mark.parametrize(
    "header",
    [
        (b"x-deadline-ms", b"soon"),
        (b"last-event-id", b"x"),
        (b"x-token-counts", b"a,b"),
        (b"x-prompt-prefix", b"a:b"),
        (b"x-request-id", b""),
        (b"last-event-id", b"9" * 400),
        (b"last-event-id", b"inf"),
        (b"x-token-counts", b"1e400,5"),
        (b"x-prompt-prefix", b"a:1e30"),
    ],
)
def test_malformed_request_header_raises(header):
    headers = [h for h in SCOPE["headers"] if h[0] != header[0]] + [header]
    with pytest.raises(ingress.RequestError):
        ingress.decode_request(SCOPE | {"headers": headers}, b"")


def test_encoded_request_has_upstream_headers_and_no_credentials():
    request = ingress.decode_request(SCOPE, b"body")
    context = interfaces.ForwardingContext(
        "i-7", "1.2.3.4:5", 3.5, "org", 1, 4, "m.4", "9:9", "8:8", 14
    )
    head, _, body = (
        upstreams.HttpUpstreamCodec().encode_request(request, context).partition(b"\r\n\r\n")
    )
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /lepu270/2f%20x?q=1 HTTP/1.1"
    assert body == b"body"
    for line in (b"X-Deadline-Ms: 3500", b"X-Tenant: org", b"X-Expect-Instance: i-7"):
        assert line in lines
    for line in (b"X-Expect-Version: 4", b"X-Kv-Fetch: 9:9", b"X-Kv-Save: 8:8"):
        assert line in lines
    for line in (b"Last-Event-Id: 14", b"X-Request-Priority: 1", b"Content-Length: 4"):
        assert line in lines
    for line in (b"x-token-counts: 1460,80", b"x-request-id: 9c41"):
        assert line in lines
    assert not any(line.lower().startswith(b"authorization") for line in lines)


def test_response_head_is_decoded_without_hop_by_hop_headers():
    raw = [
        (b"x-response-seal", b"s"),
        (b"connection", b"close"),
        (b"x-weight-versions", b"4"),
        (b"content-type", b"text/plain"),
    ]
    head = upstreams.HttpUpstreamCodec().decode_head(exchanges.ResponseHead(200, raw))
    assert (head.authentic, head.not_run, head.version) == (True, False, 4)
    assert (b"content-type", b"text/plain") in head.headers
    assert b"connection" not in dict(head.headers)
    refused = upstreams.HttpUpstreamCodec().decode_head(
        exchanges.ResponseHead(503, [(b"x-not-run", b"1")])
    )
    assert refused.not_run


@pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b"0", False), (b"", False)])
def test_announcement_that_an_upstream_leaves_is_decoded(value, leaving):
    raw = [(b"content-length", b"0"), (b"server-leaving", value)]
    head = upstreams.HttpUpstreamCodec().decode_head(exchanges.ResponseHead(503, raw))
    assert head.leaving is leaving


def test_order_is_encoded_and_report_and_outcome_are_decoded():
    codec = upstreams.HttpUpstreamCodec()
    change = fleet.LoadModel("m", "2")
    order = fleet.Order("id", 41, "i-7", change, 1.0, expected=2)
    body = json.loads(codec.encode_order("a:1", order, "vm-1").partition(b"\r\n\r\n")[2])
    assert body == {
        "op": "version",
        "model": "m",
        "version": 2,
        "strategy": "wait",
        "holder": "vm-1",
        "fencing_token": 41,
        "expected": 2,
    }
    report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
    report |= {"busy": True, "sequence": 2, "queued": 1}
    state = codec.decode_report("i-7", 5, json.dumps(report).encode(), 1.5)
    assert (state.incarnation, state.busy, state.accepted) == (5, True, 2)
    assert codec.decode_report("i-7", 5, b"no", 1.5) is None
    assert codec.decode_order_outcome(202) is fleet.Outcome.ACCEPTED
    assert codec.decode_order_outcome(412) is fleet.Outcome.STALE_FENCING
    assert codec.decode_order_outcome(500) is fleet.Outcome.UNKNOWN


SETTINGS = """
node_name = "front-dar-a-1"
ip = "10.1.0.24"
zone = "dar-a"
region = "dar"
internal_ports = [7600, 7615]
seeds = ["10.1.0.24:8608", "10.2.0.3:8608"]
something_new = 5
[listen]
front = "10.1.0.24:8606"
ready = "10.1.0.24:8605"
control = "10.1.0.24:8608"
directory = "10.1.0.24:8603"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_slack = 58
[platform]
address = "10.200.1.7:8601"
"""


def test_settings_are_decoded():
    vm_settings = settings.parse(SETTINGS)
    assert vm_settings.caller_address == "10.1.0.24:8606"
    assert vm_settings.peer_address == "10.1.0.24:7600"
    assert vm_settings.seeds == ("10.1.0.24:7600", "10.2.0.3:7600")
    assert vm_settings.retry_rules.slack == 58
    assert vm_settings.freshness_rules == freshness.FreshnessRules(2.0, serves_without_store=True)
    assert vm_settings.link_bits_per_second == 1e9


def test_the_shorter_bound_limits_the_age_of_copies():
    bounds = "[bounds]\nconfig_apply_ms = 4000\ndrain_ms = 3000\nfail_closed = true"
    text = SETTINGS.replace("[bounds]", bounds) + "[limits]\nlink_mbps = 10.0\n"
    vm_settings = settings.parse(text)
    assert vm_settings.freshness_rules == freshness.FreshnessRules(3.0, serves_without_store=False)
    assert vm_settings.link_bits_per_second == 1e7


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (SETTINGS.replace('zone = "dar-a"', ""), "zone"),
        (SETTINGS.replace('zone = "dar-a"', "zone = 5"), "zone"),
        (SETTINGS.replace("grace_s = 8", 'grace_s = "8"'), "bounds.grace_s"),
        (SETTINGS.replace("[7600, 7615]", "[7600]"), "internal_ports"),
        ("not toml", "TOML"),
    ],
)
def test_settings_error_names_the_field(text, field):
    with pytest.raises(errors.SettingsError, match=field):
        settings.parse(text)


@pytest.mark.parametrize(
    ("value", "seconds", "anomaly"),
    [
        (b"3", 3.0, None),
        (b"0.25", 0.25, None),
        (b" .5 ", 0.5, None),
        (b"9" * 400, math.inf, None),
        (b"0", 0.0, interfaces.RetryAfterAnomaly.NOT_POSITIVE),
        (b"-2", 0.0, interfaces.RetryAfterAnomaly.NOT_POSITIVE),
        (b"Wed, 21 Oct 2035 07:28:00 GMT", 0.0, interfaces.RetryAfterAnomaly.DATE),
        (b"", 0.0, interfaces.RetryAfterAnomaly.MALFORMED),
        (b"soon", 0.0, interfaces.RetryAfterAnomaly.MALFORMED),
        (b"nan", 0.0, interfaces.RetryAfterAnomaly.MALFORMED),
        (b"1e3", 0.0, interfaces.RetryAfterAnomaly.MALFORMED),
        (b"1_0", 0.0, interfaces.RetryAfterAnomaly.MALFORMED),
        (b"\xff\x00", 0.0, interfaces.RetryAfterAnomaly.MALFORMED),
    ],
)
def test_every_form_of_retry_after_has_a_meaning(value, seconds, anomaly):
    codec = upstreams.HttpUpstreamCodec()
    raw = [(b"retry-after", value)]
    refused = codec.decode_head(exchanges.ResponseHead(503, raw))
    assert (refused.retry_after_seconds, refused.retry_after_anomaly) == (seconds, anomaly)


@pytest.mark.parametrize("status", [200, 429, 500])
def test_retry_after_of_another_status_is_not_a_backoff(status):
    raw = [(b"retry-after", b"3")]
    head = upstreams.HttpUpstreamCodec().decode_head(exchanges.ResponseHead(status, raw))
    assert (head.retry_after_seconds, head.retry_after_anomaly) == (0.0, None)
