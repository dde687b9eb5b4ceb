import http.server
import json
import pathlib
import threading

import click.testing
import pytest

from hollyring import declaration
from hollyring.cli import config, sync_client
from hollyring.configuration import store


@pytest.fixture
def call(standin):
    def run(*arguments):
        result = click.testing.CliRunner().invoke(config.config, list(arguments))
        assert result.exception is None or isinstance(result.exception, SystemExit), result
        return result

    return run


@pytest.fixture
def file(tmp_path):
    def write(*organisations, deployment="bohari", burst=40_000):
        declared = declaration.deployment(deployment)
        for name in organisations:
            declared.organisation(name, rate=100, burst=burst)
        path = tmp_path / f"{deployment}-{'-'.join(organisations)}.json"
        path.write_text(declared.json())
        return str(path)

    return write


def test_check_accepts_valid_file(call, file):
    result = call("check", file("a"))
    assert (result.exit_code, "fine, 2 objects" in result.output) == (0, True)


def test_check_reports_every_error_with_exit_status_2(call, file):
    result = call("check", file("a", "b", burst=1))
    assert result.exit_code == config.EXIT_BAD_INPUT
    assert "organisation/a.burst: 1" in result.output
    assert "organisation/b.burst: 1" in result.output


def test_applied_configuration_is_in_show_print_and_history(call, file, standin):
    first = call("apply", file("a"), "--platform", standin.url, "--author", "ann", "--json")
    assert json.loads(first.output)["revision"] == 1
    second = call("apply", file("a", "b"), "--platform", standin.url, "--author", "ben")
    assert "+ organisation/b\naccepted as revision 2" in second.output
    shown = json.loads(call("show", "--platform", standin.url, "--json").output)
    assert (shown["revision"], shown["objects"]["organisation"]) == (2, 2)
    declared = pathlib.Path(file("a", "b")).read_text()
    assert call("print", "--platform", standin.url).output == declared
    history = json.loads(call("history", "--platform", standin.url, "--json").output)
    assert [(entry["revision"], entry["author"]) for entry in history] == [(2, "ben"), (1, "ann")]


def test_applying_the_same_file_again_submits_nothing(call, file, standin):
    call("apply", file("a"), "--platform", standin.url)
    result = call("apply", file("a"), "--platform", standin.url)
    assert (result.exit_code, "nothing to change" in result.output) == (0, True)


def test_dry_run_submits_nothing(call, file, standin):
    result = call("apply", file("a"), "--platform", standin.url, "--dry-run")
    assert "+ organisation/a" in result.output
    assert json.loads(call("show", "--platform", standin.url, "--json").output)["revision"] == 0


def test_lost_race_reports_the_winning_change(call, file, standin, monkeypatch):
    call("apply", file("a"), "--platform", standin.url)
    original = sync_client.SyncPlatformClient.perform

    def racing(self, requested):
        if isinstance(requested, store.Write) and requested.key == "config/revision/2":
            monkeypatch.undo()
            call("apply", file("a", "b"), "--platform", standin.url, "--author", "ben")
        return original(self, requested)

    monkeypatch.setattr(sync_client.SyncPlatformClient, "perform", racing)
    result = call("apply", file("a", "b", "c"), "--platform", standin.url)
    assert result.exit_code == config.EXIT_LOST_RACE
    assert "revision 2 by ben" in result.output
    assert "you change organisation/b, too" in result.output


def test_stale_base_is_refused_with_the_later_changes(call, file, standin):
    call("apply", file("a"), "--platform", standin.url)
    call("apply", file("a", "b"), "--platform", standin.url, "--author", "ben")
    result = call("apply", file("a"), "--platform", standin.url, "--base", "1")
    assert result.exit_code == config.EXIT_LOST_RACE
    assert "revision 2 by ben" in result.output


def test_write_with_lost_response_is_reported_as_accepted(call, file, standin):
    call("apply", file("a"), "--platform", standin.url)
    standin.fault("lost_answer", count=1)
    result = call("apply", file("a", "b"), "--platform", standin.url, "--json")
    assert (result.exit_code, json.loads(result.output)["revision"]) == (0, 2)
    history = json.loads(call("history", "--platform", standin.url, "--json").output)
    assert [entry["revision"] for entry in history] == [2, 1]


def test_platform_outage_gives_exit_status_4(call, file, standin):
    standin.fault("outage")
    result = call("apply", file("a"), "--platform", standin.url)
    assert result.exit_code == config.EXIT_UNKNOWN
    assert "nothing was submitted" in result.output


def test_configuration_of_other_deployment_is_refused(call, file, standin):
    call("apply", file("a"), "--platform", standin.url)
    result = call("apply", file("a", deployment="verrerie"), "--platform", standin.url)
    assert result.exit_code == config.EXIT_BAD_INPUT
    assert "allowed: bohari" in result.output


def test_snapshot_is_stored_every_sixteenth_revision(call, file, standin):
    for number in range(16):
        call("apply", file("a", f"o-{number}"), "--platform", standin.url)
    client = sync_client.SyncPlatformClient(standin.url)
    assert isinstance(client.perform(store.Read("config/snapshot/16/0")), store.Found)
    assert isinstance(client.perform(store.Read("config/pointer")), store.Found)
    assert json.loads(call("show", "--platform", standin.url, "--json").output)["revision"] == 16


@pytest.fixture
def admin():
    """Admin port of a VM at revision 2 that requires the bearer token "sesame"."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            allowed = self.headers["Authorization"] == "Bearer sesame"
            self.send_response(200 if allowed else 401)
            self.end_headers()
            self.wfile.write(b'{"configuration": {"revision": 2}}' if allowed else b"{}")

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever).start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


@pytest.mark.parametrize(("revision", "status"), [("2", 0), ("3", config.EXIT_UNKNOWN)])
def test_wait_reports_the_revision_on_each_vm(call, admin, revision, status):
    arguments = ["--vm", admin, "--admin-key", "sesame", "--timeout", "0", "--json"]
    result = call("wait", revision, *arguments)
    assert result.exit_code == status
    assert json.loads(result.output)["vms"] == {admin: 2}


def test_wait_counts_unreachable_vm_as_behind(call, unused_address):
    address = unused_address()
    result = call("wait", "1", "--vm", address, "--timeout", "0")
    assert result.exit_code == config.EXIT_UNKNOWN
    assert f"{address}: not reachable" in result.output


def test_apply_refuses_store_that_is_older_than_a_vm(
    call, standin, admin, unused_address, tmp_path
):
    declared = declaration.deployment("bohari")
    declared.vm("vm-0", "dar", "dar-1", unused_address(), unused_address(), admin)
    path = tmp_path / "bohari.json"
    path.write_text(declared.json())
    call("apply", str(path), "--platform", standin.url)
    declared.organisation("a", rate=100, burst=40_000)
    path.write_text(declared.json())
    arguments = ["apply", str(path), "--platform", standin.url, "--admin-key", "sesame", "--json"]
    result = call(*arguments)
    assert result.exit_code == config.EXIT_UNKNOWN
    assert json.loads(result.output) == {"outcome": "store_older", "ahead": {"vm-0": 2}}


def test_wait_without_vm_or_platform_is_a_usage_error(call):
    assert call("wait", "1").exit_code == config.EXIT_BAD_INPUT
