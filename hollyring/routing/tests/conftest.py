import random

import pytest

from hollyring.core import invariants, prompt_blocks
from hollyring.routing import messages, policies, prefix, requests, router, upstreams

SERVED = (upstreams.ServedModel("parish", "v1"),)


@pytest.fixture
def rng():
    return random.Random(1)


@pytest.fixture
def make_upstreams():
    """Return a function that builds upstreams spread over three failure domains."""

    def build(count, **fields):
        return [
            upstreams.Upstream(f"ls-{n}", f"domain-{n % 3}", SERVED, incarnation=1, **fields)
            for n in range(count)
        ]

    return build


@pytest.fixture
def make_router(make_upstreams):
    def build(policy=None, count=6, vm="vm-1", vms=("vm-1",)):
        instance = router.Router(vm, policy or policies.Prefix(), invariants.Invariants())
        instance.configure(make_upstreams(count), vms, 0.0)
        return instance

    return build


@pytest.fixture
def make_request():
    def build(document=b"circular", block_count=10, organisation="bohari", **fields):
        size = block_count * prompt_blocks.BLOCK_BYTES
        prompt = (document * (size // len(document) + 1))[:size] + b"Eligible?"
        chain = prefix.chain(organisation, "parish", "v1", prompt)
        tokens = prompt_blocks.token_count(prompt)
        return requests.RouteRequest(
            organisation, "parish", "v1", chain, tokens, 50, 1000.0, **fields
        )

    return build


@pytest.fixture
def make_report():
    def build(queued_tokens=0, incarnation=1, age=0.0, running=0):
        return messages.LoadReport(incarnation, running, 0, queued_tokens, 8000.0, age)

    return build
