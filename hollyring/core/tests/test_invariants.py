import pytest

from hollyring.core import invariants


def test_strict_invariants_raise_on_violation():
    with pytest.raises(invariants.InvariantError, match="in_order: 3 after 1"):
        invariants.Invariants().check("in_order", False, "3 after 1")


def test_lenient_invariants_count_violations():
    counter = invariants.Invariants(strict=False)
    counter.check("in_order", True)
    counter.check("in_order", False, "3 after 1")
    assert counter.violations == 1
    assert counter.dump()["in_order"]["checks"] == 2
