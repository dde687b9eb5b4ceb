import json
import pathlib

import msgspec
import pytest

from hollyring.node import errors, server, settings

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "install.md"
VALID = {
    "name": "vm-0",
    "region": "r",
    "failure_domain": "a",
    "caller_address": "127.0.0.1:8000",
    "peer_address": "127.0.0.1:8001",
    "admin_address": "127.0.0.1:8002",
    "platform": "http://127.0.0.1:7000",
    "peer_keys": ["a-secret-of-16-or-more-bytes"],
}


def test_valid_settings_are_parsed():
    assert settings.parse(json.dumps(VALID)).limits.body_bytes == 8_000_000


@pytest.mark.parametrize(
    ("override", "expected"),
    [
        ({"caller_address": "here"}, 'caller_address: "here"'),
        ({"seeds": ["127.0.0.1"]}, 'seeds: "127.0.0.1"'),
        ({"platform": "ftp://x"}, 'platform: "ftp://x"'),
        ({"peer_keys": []}, "peer_keys: []"),
        ({"peer_keys": ["short"]}, "peer_keys: (hidden)"),
        ({"policy": "best"}, 'policy: "best"'),
        ({"memory_mb": -1}, "memory_mb: -1"),
        ({"limits": {"connections": 0}}, "limits.connections: 0"),
        ({"limits": {"connections": "many"}}, 'limits.connections: "many"'),
        ({"limits": {"colour": 1}}, "limits.colour: unknown field"),
    ],
)
def test_invalid_value_is_reported_with_the_allowed_values(override, expected):
    with pytest.raises(errors.SettingsError) as raised:
        settings.parse(json.dumps(VALID | override))
    assert len(raised.value.findings) == 1
    assert expected in raised.value.findings[0]
    assert "allowed: " in raised.value.findings[0]
    assert "short" not in str(raised.value)


@pytest.mark.parametrize(("megabytes", "limit"), [(150, 46_800_000), (0, 256_000_000)])
def test_process_holds_no_more_of_answers_than_its_memory_allows(megabytes, limit):
    vm_settings = settings.parse(json.dumps(VALID | {"memory_mb": megabytes}))
    assert server.Process(vm_settings).budget.limit == limit


def default_rows(type_, prefix=""):
    for field in msgspec.structs.fields(type_):
        if field.type is settings.Limits:
            yield from default_rows(settings.Limits, "limits.")
        elif field.required:
            yield f"| `{prefix}{field.name}` | |"
        else:
            default = field.default
            if default is msgspec.NODEFAULT:
                default = field.default_factory()
            yield f"| `{prefix}{field.name}` | {rendered(default)} |"


def rendered(default):
    if isinstance(default, str | list):
        return f"`{json.dumps(default)}`"
    return str(default)


def test_operators_page_lists_every_field_with_its_default():
    page = PAGE.read_text()
    missing = [row for row in default_rows(settings.Settings) if not is_listed(row, page)]
    assert missing == []


def is_listed(row, page):
    cells = [cell.strip() for cell in row.split("|")]
    rows = [[cell.strip() for cell in line.split("|")] for line in page.splitlines()]
    return any(cells[1:3] == other[1:3] for other in rows if len(other) > 3)
