"""Count of the steps that a function takes, which unlike its time is the same each time."""

import sys


def count(function):
    """Return how many Python functions a call of `function` calls or resumes, itself included."""
    calls = 0

    def observe(frame, event, argument):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(observe)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls
