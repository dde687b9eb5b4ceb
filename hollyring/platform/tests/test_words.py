"""Only the adapter contains names of the platform, and only the command line imports it."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / "platform"
PLATFORM_NAMES = [
    "x-response-seal",
    "x-token-counts",
    "x-prompt-prefix",
    "x-not-run",
    "x-expect-instance",
    "x-expect-version",
    "x-deadline-ms",
    "x-request-priority",
    "x-cache-salt",
    "x-kv-fetch",
    "x-kv-save",
    "x-weight-versions",
    "x-instance-id",
    "server-leaving",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-lease",
    "fencing_token",
    "api_keys",
    "traffic_split",
    "hollyring_boot",
    "hollyring/resolve",
    "hollyring/ready",
]
ADAPTER_IMPORTERS = {ROOT / "cli" / "main.py"}


def sources():
    for path in sorted(ROOT.rglob("*.py")):
        if ADAPTER not in path.parents and "generated" not in path.parts:
            yield path


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_platform_name_occurs_in_the_adapter_only(name):
    found = [p.name for p in sources() if name in p.read_text().lower()]
    assert found == []


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_only_the_command_line_imports_the_adapter():
    found = {
        p for p in sources() for name in imported_names(p) if name.startswith("hollyring.platform")
    }
    assert found <= ADAPTER_IMPORTERS


def test_adapter_imports_no_decision_modules():
    """It may import types of the decision packages, but no modules that make decisions."""
    decision_modules = {
        "selection",
        "prefix_caches",
        "replicated_bucket",
        "rollout",
        "relay",
        "state",
    }
    for path in ADAPTER.glob("*.py"):
        names = {name.rpartition(".")[2] for name in imported_names(path)}
        allowed = {"state"} if path.name == "settings.py" else set()
        assert names & decision_modules <= allowed, path.name
