import click.testing
import pytest

from hollyring.cli import experiment, main


def run(*arguments):
    return click.testing.CliRunner().invoke(main.main, arguments)


def test_version_is_printed():
    assert run("version").output.startswith("hollyring ")


@pytest.mark.parametrize("name", sorted(experiment.COMMANDS))
def test_every_experiment_has_help_with_an_example(name):
    result = run("experiment", name, "--help")
    assert result.exit_code == 0
    assert f"hollyring experiment {name}" in result.output


def test_serve_reports_every_settings_error_at_once(tmp_path):
    path = tmp_path / "vm.json"
    path.write_text('{"name": 3, "colour": "red", "peer_keys": ["secret-of-mine"]}')
    result = run("serve", str(path))
    assert result.exit_code == 2
    for expected in ("name: 3", "colour: unknown field", "platform: missing", "region: missing"):
        assert expected in result.output
    assert "secret-of-mine" not in result.output
