"""Enough followers of the store, and no more."""

import random

from plumarch.membership import store_followers


def test_a_fleet_has_enough_followers_whatever_its_data_centres_and_no_more():
    for data_centres in range(1, 30):
        total = data_centres * store_followers.per_centre(data_centres)
        assert total >= min(
            store_followers.MIN_FOLLOWERS, data_centres * store_followers.MAX_PER_CENTRE
        )
        assert total <= max(2 * store_followers.MIN_FOLLOWERS - 2, data_centres)


def test_nodes_that_are_turned_away_never_lower_the_number_that_is_answered():
    rng = random.Random(7)
    for _ in range(500):
        nodes = [(f"n{number:02}", rng.random() < 0.5) for number in range(rng.randrange(1, 20))]
        wanted = rng.randint(1, store_followers.MAX_PER_CENTRE)
        chosen = store_followers.choose(nodes, wanted)
        answered = [name for name, reaches in nodes if reaches]
        assert [name for name in chosen if name in answered] == answered[:wanted]
        assert chosen == [name for name, _ in nodes[: len(chosen)]]
