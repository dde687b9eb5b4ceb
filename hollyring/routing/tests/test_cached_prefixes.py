"""What a selection looks up once is the same as what it would look up for each upstream."""

import random

import pytest

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.routing import cached_prefixes, prefix_caches, registry, selection, wanted_versions

MODEL = "parish"
SERVICE = "ls"
SALT = "parish.1"
NOW = 10.0
PARTS = tuple(request_types.Part(f"part-{n}", 1000) for n in range(3))
PROMPT = request_types.Prompt(MODEL, PARTS, 3000, 100)
ENGINE = deployment.Engine(8, 100_000, 18_432 * 8, 88e9, (MODEL,))


class CountedCaches(prefix_caches.PrefixCaches):
    """Prefix caches that count how often they are asked."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def cached_tokens(self, holder, salt, parts):
        self.lookups += 1
        return super().cached_tokens(holder, salt, parts)


def make_upstreams(rng, count):
    upstreams = registry.Registry()
    for n in range(count):
        domain = f"dar-{rng.randrange(3)}"
        upstreams.put(
            registry.Entry(f"u-{n}", SERVICE, f"u-{n}:1", domain, 8, False, 1, {MODEL: 1})
        )
    for upstream in upstreams.upstreams.values():
        upstream.suspected_until = NOW + rng.choice((-1.0, -1.0, -1.0, 1.0))
        upstream.loading_until = NOW + rng.choice((-1.0, -1.0, -1.0, 1.0))
    return upstreams


def make_stores(rng):
    return [
        deployment.CacheStore(f"store-{n}:1", f"dar-{rng.randrange(3)}", 100_000, 53e9)
        for n in range(rng.randrange(3))
    ]


def fill(rng, caches, holders):
    for holder in holders:
        parts = PARTS[: rng.randrange(len(PARTS) + 1)]
        if parts:
            caches.touch(holder, 100_000, SALT, parts)


def plain_source(upstream, upstreams, stores, caches):
    """Return the best source for one upstream by asking all others."""
    source, most_tokens = ("", ""), 0
    for other in upstreams:
        if other is upstream or other.is_suspect(NOW) or other.is_loading(NOW):
            continue
        tokens = caches.cached_tokens(other.name, SALT, PARTS)
        same_domain = other.entry.domain == upstream.entry.domain
        if tokens > most_tokens or (tokens == most_tokens > 0 and same_domain):
            source, most_tokens = (other.entry.address, other.entry.domain), tokens
    for store in stores:
        tokens = caches.cached_tokens(store.address, SALT, PARTS)
        if tokens >= most_tokens > 0 or tokens > most_tokens:
            source, most_tokens = (store.address, store.failure_domain), tokens
    return source, most_tokens


def plain_store_to_save(stores, caches):
    shared = PARTS[:-1]
    tokens = sum(part.tokens for part in shared)
    for store in stores:
        if caches.cached_tokens(store.address, SALT, shared) < tokens:
            return store.address
    return ""


@pytest.mark.parametrize("seed", range(300))
def test_sources_are_those_found_by_asking_all_others(seed):
    rng = random.Random(seed)
    upstreams = make_upstreams(rng, rng.randrange(1, 9)).of_service(SERVICE)
    stores = make_stores(rng)
    caches = prefix_caches.PrefixCaches()
    fill(rng, caches, [u.name for u in upstreams] + [store.address for store in stores])
    lookups = cached_prefixes.Lookups(PROMPT, upstreams, stores, caches, NOW)
    for upstream in upstreams:
        prefixes = lookups.prefixes(SALT)
        source, tokens = prefixes.source(upstream)
        found = (source.address, source.domain), tokens
        assert found == plain_source(upstream, upstreams, stores, caches)
        assert prefixes.tokens(upstream) == caches.cached_tokens(upstream.name, SALT, PARTS)
        assert lookups.store_to_save(SALT) == plain_store_to_save(stores, caches)


@pytest.mark.parametrize("count", [3, 120])
def test_selection_looks_each_cache_up_once_however_many_upstreams_there_are(count):
    upstreams = make_upstreams(random.Random(1), count)
    caches = CountedCaches()
    fill(random.Random(2), caches, upstreams.upstreams)
    selector = selection.Selector(upstreams, caches, wanted_versions.WantedVersions())
    store = deployment.CacheStore("store-1:1", "dar-0", 100_000, 53e9)
    services = [
        deployment.Service(SERVICE, 100, engine=ENGINE),
        deployment.Service("keep", 100, cache_store=store),
    ]
    selector.configure(deployment.Deployment(1, [], services, [], deployment.RequestLimits(), True))
    request = selection.SelectionRequest("r-1", SERVICE, PROMPT, "", "dar-0", 4.0, 0.5, 1.0)
    assert isinstance(selector.select(request, NOW), selection.Selection)
    # The store is asked for the whole prompt, and for its shared parts.
    assert caches.lookups == count + 2
