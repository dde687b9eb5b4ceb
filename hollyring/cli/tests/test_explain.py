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
GAVE_UP = {"text": "request: no further try", "request": "r-1", "why": "retry budget spent"}


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([{"text": "request: refused", "request": "r-1", "code": "invalid_key"}], "held its key"),
        ([FAILED, ENDED | {"outcome": "upstream_failed"}], "first failure at i-7: status 500"),
        (
            [FAILED, GAVE_UP, ENDED | {"outcome": "upstream_failed"}],
            "no further try: retry budget spent; first failure at i-7: status 500",
        ),
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


FORWARDED = {"text": "request: forwarded", "request": "r-1", "vm": "vm-1", "to": "vm-2"}
TAKEN = {"text": "request: taken from another VM", "request": "r-1", "vm": "vm-2"}
SENT_THERE = SENT | {"vm": "vm-2"}
ENDED_THERE = ENDED | {"vm": "vm-2", "admitted_by": "vm-1", "outcome": "answered"}


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        (
            [FORWARDED, TAKEN, SENT_THERE, ENDED_THERE, ENDED | {"outcome": "answered"}],
            "cause: answered: it was answered\n",
        ),
        (
            [FORWARDED, TAKEN, ENDED | {"outcome": "answered", "through": "vm-2"}, ENDED_THERE],
            "cause: answered: it was answered; through vm-2\n",
        ),
        (
            [
                FORWARDED,
                TAKEN,
                ENDED | {"outcome": "deadline_exceeded", "through": "vm-2"},
                ENDED_THERE | {"outcome": "caller left"},
            ],
            "its time passed while an upstream worked on it; through vm-2",
        ),
        ([FORWARDED, TAKEN, SENT_THERE], "while vm-2 had it"),
        ([TAKEN, SENT_THERE], "while i-7 worked on it"),
    ],
)
def test_explain_tells_of_both_vms(run_explain, lines, expected):
    assert expected in run_explain("r-1", *lines).output


def test_explain_orders_the_logs_of_several_vms_by_time(tmp_path):
    logs = {
        "vm-1": [FORWARDED | {"timestamp": 1.0}, ENDED | {"timestamp": 4.0, "outcome": "answered"}],
        "vm-2": [TAKEN | {"timestamp": 2.0}, ENDED_THERE | {"timestamp": 3.0}],
    }
    paths = []
    for vm, lines in logs.items():
        paths.append(tmp_path / vm)
        paths[-1].write_text("".join(json.dumps(line) + "\n" for line in lines))
    result = testing.CliRunner().invoke(main.main, ["explain", "r-1", *map(str, paths)])
    assert [line.split(" ", 1)[0] for line in result.output.splitlines()] == [
        "vm-1",
        "vm-2",
        "vm-2",
        "vm-1",
        "cause:",
    ]
