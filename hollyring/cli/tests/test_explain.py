import json

import pytest
from click import testing

from hollyring.cli import main


@pytest.fixture
def run_explain(tmp_path):
    def run(request, *lines):
        path = tmp_path / "vm.log"
        path.write_text("".join(f" 1.5 vm-1 {json.dumps(line)}\n" for line in lines))
        return testing.CliRunner().invoke(main.main, ["explain", request, str(path)])

    return run


SENT = {"text": "request: sent", "request": "r-1", "vm": "vm-1", "upstream": "i-7"}
ENDED = {"text": "request: ended", "request": "r-1", "vm": "vm-1"}
FAILED = {"text": "request: try failed", "request": "r-1", "upstream": "i-7", "why": "status 500"}


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([{"text": "request: refused", "request": "r-1", "code": "invalid_key"}], "held its key"),
        ([FAILED, ENDED | {"outcome": "upstream_failed"}], "first failure at i-7: status 500"),
        (
            [SENT | {"expected": 0.1}, ENDED | {"outcome": "answered", "first": 0.9}],
            "late: first event after 0.9 s, expected 0.1 s",
        ),
        ([SENT], "no end is logged: the VM was lost, or the log ends, while i-7 worked on it"),
        ([SENT, ENDED | {"outcome": "answered", "status": 500}], "answered with a failure"),
        ([ENDED | {"outcome": "caller left"}], "its caller closed the connection"),
        ([], "nothing is logged"),
    ],
)
def test_explain_prints_the_cause(run_explain, lines, expected):
    other = {"text": "request: ended", "request": "r-10", "outcome": "answered"}
    result = run_explain("r-1", other, *lines)
    assert result.exit_code == 0
    assert expected in result.output
    assert "r-10" not in result.output
