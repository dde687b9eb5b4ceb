import random

from hollyring.core import rendezvous


def test_first_member_is_that_of_the_whole_ranking():
    rng = random.Random(1)
    for n in range(300):
        members = [f"vm-{rng.randrange(10**6)}" for _ in range(rng.randrange(1, 30))]
        key = f"key-{n}".encode()
        assert rendezvous.first(key, members) == rendezvous.rank(key, members)[0]
