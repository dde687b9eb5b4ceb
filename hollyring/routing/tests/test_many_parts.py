"""Estimates of cached prompts are bounded in parts, by each cache's blocks and as a sum."""

import pytest

from hollyring.core import request_types
from hollyring.routing import prefix_caches

CAPACITY = 128_000


def parts(first, count, tokens=1):
    return [request_types.Part(f"{n:x}", tokens) for n in range(first, first + count)]


def test_part_of_one_token_takes_a_block_of_its_cache():
    caches = prefix_caches.PrefixCaches()
    for first in range(0, 200_000, 1_700):
        caches.touch("u-1", CAPACITY, "salt", parts(first, 1_700))
    most = CAPACITY * prefix_caches.CAPACITY_FACTOR / prefix_caches.BLOCK_TOKENS
    assert caches.parts == caches.dump()["u-1"] <= most


def test_all_estimates_together_have_a_bounded_number_of_parts():
    caches = prefix_caches.PrefixCaches(max_parts=10_000)
    caches.touch("small", CAPACITY, "salt", parts(0, 50, tokens=100))
    for holder in range(40):
        for first in range(0, 6_800, 1_700):
            caches.touch(f"u-{holder}", CAPACITY, "salt", parts(first, 1_700))
            assert caches.parts <= 10_000
    assert caches.parts == sum(caches.dump().values())
    assert caches.dump()["small"] == 50, "the largest estimates give way, not the small ones"


def test_removed_holder_and_removed_parts_are_counted_no_longer():
    caches = prefix_caches.PrefixCaches(max_parts=100)
    caches.touch("u-1", CAPACITY, "salt", parts(0, 40))
    caches.touch("u-2", CAPACITY, "salt", parts(0, 40))
    caches.set("u-2", CAPACITY, "salt", "0", 0)
    caches.remove_holder("u-1")
    assert caches.parts == 39


@pytest.mark.parametrize("length", [prefix_caches.MAX_NAME_CHARACTERS, 100_000])
def test_long_names_are_not_kept(length):
    caches = prefix_caches.PrefixCaches()
    caches.set("u-1", CAPACITY, "salt", "x" * length, 100)
    assert caches.parts == (length <= prefix_caches.MAX_NAME_CHARACTERS)
