"""The number and choice of the store's followers."""

import random

from plumarch.membership import store_followers


def test_the_number_of_followers_stays_within_its_bounds_for_any_number_of_data_centres():
    for data_centres in range(1, 30):
        total = data_centres * store_followers.per_centre(data_centres)
        assert total >= min(
            store_followers.MIN_FOLLOWERS, data_centres * store_followers.MAX_PER_CENTRE
        )
        assert total <= max(2 * store_followers.MIN_FOLLOWERS - 2, data_centres)


def test_nodes_that_can_not_reach_the_store_do_not_replace_ones_that_can():
    rng = random.Random(7)
    for _ in range(500):
        nodes = [(f"n{number:02}", rng.random() < 0.5) for number in range(rng.randrange(1, 20))]
        wanted = rng.randint(1, store_followers.MAX_PER_CENTRE)
        chosen = store_followers.choose(nodes, wanted)
        reaching = [name for name, reaches in nodes if reaches]
        assert [name for name in chosen if name in reaching] == reaching[:wanted]
        assert chosen == [name for name, _ in nodes[: len(chosen)]]
