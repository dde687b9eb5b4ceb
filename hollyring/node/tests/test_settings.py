import json
import pathlib

import msgspec
import pytest

from hollyring.node import errors, settings

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "install.md"
GOOD = {
    "name": "vm-0",
    "region": "r",
    "failure_domain": "a",
    "caller_address": "127.0.0.1:8000",
    "peer_address": "127.0.0.1:8001",
    "admin_address": "127.0.0.1:8002",
    "platform": "http://127.0.0.1:7000",
    "peer_keys": ["a-secret-of-16-or-more-bytes"],
}


def test_good_settings_are_taken():
    assert settings.parse(json.dumps(GOOD)).limits.body_bytes == 8_000_000


@pytest.mark.parametrize(
    ("change", "wanted"),
    [
        ({"caller_address": "here"}, 'caller_address: "here"'),
        ({"seeds": ["127.0.0.1"]}, 'seeds: "127.0.0.1"'),
        ({"platform": "ftp://x"}, 'platform: "ftp://x"'),
        ({"peer_keys": []}, "peer_keys: []"),
        ({"peer_keys": ["short"]}, "peer_keys: (hidden)"),
        ({"policy": "best"}, 'policy: "best"'),
        ({"limits": {"connections": 0}}, "limits.connections: 0"),
        ({"limits": {"connections": "many"}}, 'limits.connections: "many"'),
        ({"limits": {"colour": 1}}, "limits.colour: unknown field"),
    ],
)
def test_bad_value_is_named_with_what_is_allowed(change, wanted):
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(json.dumps(GOOD | change))
    assert len(caught.value.findings) == 1
    assert wanted in caught.value.findings[0]
    assert "allowed: " in caught.value.findings[0]
    assert "short" not in str(caught.value)


def defaults(type_, prefix=""):
    for field in msgspec.structs.fields(type_):
        if field.type is settings.Limits:
            yield from defaults(settings.Limits, "limits.")
        elif field.required:
            yield f"| `{prefix}{field.name}` | |"
        else:
            default = field.default
            if default is msgspec.NODEFAULT:
                default = field.default_factory()
            yield f"| `{prefix}{field.name}` | {shown(default)} |"


def shown(default):
    if isinstance(default, str | list):
        return f"`{json.dumps(default)}`"
    return str(default)


def test_operators_page_lists_every_field_with_its_default():
    page = PAGE.read_text()
    missing = [row for row in defaults(settings.Settings) if not listed(row, page)]
    assert missing == []


def listed(row, page):
    cells = [cell.strip() for cell in row.split("|")]
    rows = [[cell.strip() for cell in line.split("|")] for line in page.splitlines()]
    return any(cells[1:3] == found[1:3] for found in rows if len(found) > 3)
