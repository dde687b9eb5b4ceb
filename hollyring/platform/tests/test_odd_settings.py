"""Tests that a settings file that became unreadable leaves a running VM as it is."""

import signal
import time

import anyio
import pytest

from hollyring.node import errors
from hollyring.platform import settings
from hollyring.platform.tests import test_odd_upstream_answers, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

cluster = test_process.cluster
TEXTS = {
    "empty": b"",
    "no TOML": b"\x00\x01[[[",
    "no UTF-8": b"\xff\xfe",
    "deep": b"a = " + b"[" * 200_000,
    "deep tables": b"[" + b".".join([b"a"] * 20_000) + b"]",
    "digits": b"node_name = " + b"9" * 5000,
    "huge port": b'internal_ports = [1, 99999999999999999999]\nnode_name = "vm-1"',
    "directory": None,
}
LONGEST_KEY = "[" + ".".join(["a"] * (settings.MAX_DOTS_PER_LINE + 1)) + "]"
MAX_HELD_UP_SECONDS = test_odd_upstream_answers.MAX_HELD_UP_SECONDS


@pytest.mark.parametrize("name", [name for name, text in TEXTS.items() if text is not None])
def test_odd_settings_are_refused_with_a_reason(name):
    try:
        settings.parse(TEXTS[name].decode("utf-8", errors="replace"))
    except errors.SettingsError:
        return
    pytest.fail("taken for settings")


@pytest.mark.parametrize(
    "text", [TEXTS["deep tables"].decode(), LONGEST_KEY], ids=["deep tables", "longest key"]
)
def test_key_of_many_parts_does_not_hold_up_the_event_loop(text):
    started_at = time.thread_time()
    with pytest.raises(errors.SettingsError):
        settings.parse(text)
    assert time.thread_time() - started_at < MAX_HELD_UP_SECONDS


@pytest.mark.anyio
async def test_vm_serves_while_its_settings_are_unreadable_and_takes_the_next_ones(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    sound = vm.settings_path.read_bytes()
    for number, text in enumerate(TEXTS.values()):
        vm.settings_path.unlink()
        if text is None:
            vm.settings_path.mkdir()
        else:
            vm.settings_path.write_bytes(text)
        vm.process.send_signal(signal.SIGHUP)
        with anyio.fail_after(2.0):
            while len(await vm.wait_logged("vm: settings not read")) <= number:
                await anyio.sleep(0.02)
        assert (await test_process.post(vm, f"r-{number}")).status == 200
        if text is None:
            vm.settings_path.rmdir()
            vm.settings_path.touch()
    vm.settings_path.write_bytes(b'seeds = ["127.0.0.1:1"]\n' + sound)
    vm.process.send_signal(signal.SIGHUP)
    read = await vm.wait_logged("vm: settings read")
    assert [line["seeds"] for line in read] == [1]
    assert vm.process.poll() is None
