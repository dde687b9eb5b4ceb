"""Promises to callers while VM processes of two builds run side by side; see `builds`.

By hand, `OLD_BUILD` names the checkout of the other build, `SOAK_FIRST_SEED`, `SOAK_SEEDS`,
`SOAK_VMS` and `SOAK_CALLERS` the seeds and the size of the replacements.
"""

import pytest

from hollyring.platform.tests import builds, test_soak

pytestmark = pytest.mark.xdist_group("platform-fleets")


@pytest.fixture(params=builds.DIRECTIONS)
def direction(request):
    """Return the checkouts that run before and after."""
    return builds.DIRECTIONS[request.param]


def check_kept_keys(run):
    """Keys that came or went longer ago than a change takes are taken, or refused, everywhere."""
    for call in run.calls:
        known = [call.key in one.keys for one in run.configurations.in_force(call.sent_at)]
        if call.key != test_soak.soak_configurations.KEY and call.status:
            assert any(known) or call.status in (401, 403, 503), test_soak.describe(run, call)
            assert not all(known) or call.status not in (401, 403), test_soak.describe(run, call)


@pytest.mark.anyio
@pytest.mark.parametrize("seed", test_soak.SEEDS)
async def test_no_request_is_lost_or_run_twice_while_all_vms_are_replaced(
    direction, seed, tmp_path, capfd
):
    size = {"vms": test_soak.VMS, "callers": test_soak.CALLERS}
    run = await builds.RollingSoak(tmp_path, seed, *direction, **size).run()
    for check in (*test_soak.CHECKS, check_kept_keys):
        with test_soak.failures_printed(capfd, seed, check.__name__):
            check(run)
