import http.server
import json
import pathlib
import threading

import click.testing
import pytest

from hollyring import declaration
from hollyring.cli import config, sync_client
from hollyring.cli.tests import conftest
from hollyring.configuration import store


@pytest.fixture
def call(served):
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


def test_good_file_is_fine(call, file):
    result = call("check", file("a"))
    assert (result.exit_code, "fine, 2 objects" in result.output) == (0, True)


def test_faults_are_all_named_with_exit_status_2(call, file):
    result = call("check", file("a", "b", burst=1))
    assert result.exit_code == config.EXIT_BAD_INPUT
    assert "organisation/a.burst: 1" in result.output
    assert "organisation/b.burst: 1" in result.output


def test_applied_configuration_is_shown_and_printed(call, file, served):
    first = call("apply", file("a"), "--platform", served.url, "--author", "ann", "--json")
    assert json.loads(first.output)["revision"] == 1
    second = call("apply", file("a", "b"), "--platform", served.url, "--author", "ben")
    assert "+ organisation/b\naccepted as revision 2" in second.output
    shown = json.loads(call("show", "--platform", served.url, "--json").output)
    assert (shown["revision"], shown["objects"]["organisation"]) == (2, 2)
    declared = pathlib.Path(file("a", "b")).read_text()
    assert call("print", "--platform", served.url).output == declared
    history = json.loads(call("history", "--platform", served.url, "--json").output)
    assert [(one["revision"], one["author"]) for one in history] == [(2, "ben"), (1, "ann")]


def test_applying_again_changes_nothing(call, file, served):
    call("apply", file("a"), "--platform", served.url)
    result = call("apply", file("a"), "--platform", served.url)
    assert (result.exit_code, "nothing to change" in result.output) == (0, True)


def test_dry_run_submits_nothing(call, file, served):
    result = call("apply", file("a"), "--platform", served.url, "--dry-run")
    assert "+ organisation/a" in result.output
    assert json.loads(call("show", "--platform", served.url, "--json").output)["revision"] == 0


def test_losing_operator_is_told_who_changed_what(call, file, served, monkeypatch):
    call("apply", file("a"), "--platform", served.url)
    original = sync_client.SyncPlatformClient.perform

    def racing(self, asked):
        if isinstance(asked, store.Write) and asked.key == "config/revision/2":
            monkeypatch.undo()
            call("apply", file("a", "b"), "--platform", served.url, "--author", "ben")
        return original(self, asked)

    monkeypatch.setattr(sync_client.SyncPlatformClient, "perform", racing)
    result = call("apply", file("a", "b", "c"), "--platform", served.url)
    assert result.exit_code == config.EXIT_LOST_RACE
    assert "revision 2 by ben" in result.output
    assert "you change organisation/b, too" in result.output


def test_stale_base_is_refused_with_the_changes_since(call, file, served):
    call("apply", file("a"), "--platform", served.url)
    call("apply", file("a", "b"), "--platform", served.url, "--author", "ben")
    result = call("apply", file("a"), "--platform", served.url, "--base", "1")
    assert result.exit_code == config.EXIT_LOST_RACE
    assert "revision 2 by ben" in result.output


def test_answer_lost_after_the_write_is_found_to_be_accepted(call, file, served):
    call("apply", file("a"), "--platform", served.url)
    served.fault("lost_answer", count=1)
    result = call("apply", file("a", "b"), "--platform", served.url, "--json")
    assert (result.exit_code, json.loads(result.output)["revision"]) == (0, 2)
    history = json.loads(call("history", "--platform", served.url, "--json").output)
    assert [one["revision"] for one in history] == [2, 1]


def test_service_that_is_down_gives_exit_status_4(call, file, served):
    served.fault("outage")
    result = call("apply", file("a"), "--platform", served.url)
    assert result.exit_code == config.EXIT_UNKNOWN
    assert "nothing was submitted" in result.output


def test_other_deployment_is_refused(call, file, served):
    call("apply", file("a"), "--platform", served.url)
    result = call("apply", file("a", deployment="verrerie"), "--platform", served.url)
    assert result.exit_code == config.EXIT_BAD_INPUT
    assert "allowed: bohari" in result.output


def test_snapshot_is_stored_every_sixteenth_revision(call, file, served):
    for number in range(16):
        call("apply", file("a", f"o-{number}"), "--platform", served.url)
    client = sync_client.SyncPlatformClient(served.url)
    assert isinstance(client.perform(store.Read("config/snapshot/16/0")), store.Found)
    assert isinstance(client.perform(store.Read("config/pointer")), store.Found)
    assert json.loads(call("show", "--platform", served.url, "--json").output)["revision"] == 16


@pytest.fixture
def admin():
    """An admin port whose VM is at revision 2, open to the bearer token "sesame"."""

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
def test_wait_tells_where_a_revision_is_in_force(call, admin, revision, status):
    arguments = ["--vm", admin, "--admin-key", "sesame", "--timeout", "0", "--json"]
    result = call("wait", revision, *arguments)
    assert result.exit_code == status
    assert json.loads(result.output)["vms"] == {admin: 2}


def test_wait_counts_a_vm_that_is_not_reachable_as_behind(call):
    address = f"127.0.0.1:{conftest.free_port()}"
    result = call("wait", "1", "--vm", address, "--timeout", "0")
    assert result.exit_code == config.EXIT_UNKNOWN
    assert f"{address}: not reachable" in result.output


def test_apply_refuses_a_service_that_lost_what_a_vm_has(call, served, admin, tmp_path):
    declared = declaration.deployment("bohari")
    free = [f"127.0.0.1:{conftest.free_port()}" for _ in range(2)]
    declared.vm("vm-0", "dar", "dar-1", *free, admin)
    path = tmp_path / "bohari.json"
    path.write_text(declared.json())
    call("apply", str(path), "--platform", served.url)
    declared.organisation("a", rate=100, burst=40_000)
    path.write_text(declared.json())
    arguments = ["apply", str(path), "--platform", served.url, "--admin-key", "sesame", "--json"]
    result = call(*arguments)
    assert result.exit_code == config.EXIT_UNKNOWN
    assert json.loads(result.output) == {"outcome": "store_older", "ahead": {"vm-0": 2}}


def test_wait_needs_to_know_whom_to_ask(call):
    assert call("wait", "1").exit_code == config.EXIT_BAD_INPUT
