"""Crowds that keep to no limits, at each address that clients reach and in each form.

Each test checks that the process lives, that its memory stays within that of its settings, that its
descriptors stay bounded, and that ordinary requests are answered afterwards at all addresses.
"""

import pytest

from hollyring.platform.tests import crowds, test_crowds

pytestmark = pytest.mark.xdist_group("platform-processes")

CALLERS_FORMS = sorted(crowds.FORMS.keys() - test_crowds.FORMS.keys())
"""Forms at the callers' address that `test_crowds` does not play."""

OTHER_FORMS = ("heads without end", "a header line without end", "a trailer line without end")
"""Forms at the addresses of the platform and the operators."""

PLAYS = [("callers", form) for form in CALLERS_FORMS]
PLAYS += [("directory", form) for form in crowds.FORMS]
PLAYS += [(name, form) for name in ("health", "metrics") for form in OTHER_FORMS]


@pytest.mark.anyio
@pytest.mark.parametrize(("name", "form"), PLAYS)
async def test_crowd_at_an_address_does_not_end_a_vm(tmp_path, name, form):
    async with crowds.serving(tmp_path) as (vm,), crowds.within_memory(vm):
        most = await crowds.play(vm, crowds.crowd(vm, name, form))
        crowds.assert_within_memory(vm)
        assert await crowds.is_answered_in_time(vm)
        crowds.assert_within_memory(vm)
        assert most <= test_crowds.MAX_DESCRIPTORS


MIXED = [
    ("callers", "a header line without end"),
    ("callers", "a trailer line without end"),
    ("callers", "chunks of one byte"),
    ("callers", "requests ahead"),
    ("directory", "heads without end"),
    ("directory", "a trailer line without end"),
    ("directory", "empty lines without end"),
    ("metrics", "a header line without end"),
]


@pytest.mark.anyio
async def test_crowd_of_many_forms_at_all_addresses_does_not_end_a_vm(tmp_path):
    async with crowds.serving(tmp_path) as (vm,), crowds.within_memory(vm):
        share = test_crowds.CROWD // len(MIXED)
        calls = [call for play in MIXED for call in _some(crowds.crowd(vm, *play), share)]
        most = await crowds.play(vm, calls)
        crowds.assert_within_memory(vm)
        assert await crowds.is_answered_in_time(vm)
        crowds.assert_within_memory(vm)
        assert most <= test_crowds.MAX_DESCRIPTORS


def _some(calls, count):
    for call in calls[count:]:
        call.close()
    return calls[:count]
