"""The decision packages do no input or output and depend on nothing above them."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
DECISIONS = ["core", "declaration", "configuration", "membership", "limits"]
DECISIONS += ["routing", "delivery", "fleet"]
OUTER = {"node", "standins", "experiments", "cli"}
FORBIDDEN = {"anyio", "asyncio", "click", "eliot", "httpcore", "httptools", "io", "os", "pathlib"}
FORBIDDEN |= {"random", "select", "selectors", "signal", "socket", "subprocess", "threading"}
FORBIDDEN |= {"time", "tempfile", "thrift", "uvicorn", "secrets", "sys", "builtins"}


def imported(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def breaches(package, path):
    for name in imported(path):
        parts = name.split(".")
        if parts[0] in FORBIDDEN:
            yield f"{path.name} imports {name}"
        if parts[0] != "hollyring" or len(parts) < 2:
            continue
        if parts[1] in OUTER or (package == "core" and parts[1] != "core"):
            yield f"{path.name} imports {name}"


@pytest.mark.parametrize("package", DECISIONS)
def test_decision_package_does_no_io(package):
    found = [b for path in (ROOT / package).glob("*.py") for b in breaches(package, path)]
    assert found == []


def test_checker_sees_a_breach(tmp_path):
    module = tmp_path / "bad.py"
    module.write_text("import socket\nfrom hollyring.node import server\n")
    assert len(list(breaches("limits", module))) == 2
