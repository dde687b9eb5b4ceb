"""Tests of the check of the built program."""

import importlib.util
import os
import pathlib
import subprocess
import sys

import pytest

FOLDER = pathlib.Path(__file__).parents[1]


@pytest.fixture
def check():
    """Return the module of the check, which `bin/build` runs as a script."""
    spec = importlib.util.spec_from_file_location("build_check", FOLDER / "check.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    yield module
    del sys.modules[spec.name]


def test_usage_counts_child_processes_and_resident_memory(check):
    before = check.read_usage(os.getpid())
    child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    try:
        after = check.read_usage(os.getpid())
    finally:
        child.communicate()
    assert after.children == before.children + 1
    assert after.resident_bytes > 1_000_000


def test_usage_of_a_process_that_is_gone_is_an_error(check):
    child = subprocess.Popen([sys.executable, "-c", ""])
    child.wait()
    with pytest.raises(OSError):
        check.read_usage(child.pid)


def test_every_file_that_the_build_names_exists():
    build = (FOLDER.parent / "bin" / "build").read_text()
    named = {word for word in build.replace('"', " ").split() if word.startswith("packaging/")}
    assert named
    assert {name for name in named if not (FOLDER.parent / name).exists()} == set()
