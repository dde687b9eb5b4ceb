import pytest

from hollyring.core import invariants


@pytest.fixture
def strict():
    return invariants.Invariants()
