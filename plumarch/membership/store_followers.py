"""Which nodes of a large fleet follow the platform's store for the others.

A call is paid for, and each follower is answered at each change: with n followers a change costs
n calls. The others hear of it from their coordinators, who hear of it from those of the other
data centres too.
"""

from collections.abc import Iterable

MIN_FOLLOWERS = 5
"""Followers of a fleet whose data centres are all heard. Four of them may be killed, frozen or
turned away at once, and the fifth still tells all the others."""

MAX_PER_CENTRE = 2
"""Followers of each data centre where there are fewer data centres than that."""


def per_centre(data_centres: int) -> int:
    """Return how many nodes of each data centre follow the store.

    Args:
      data_centres: how many are heard, the own one included. Those that are cut off don't count,
        so that a part of the fleet that is left alone soon has enough followers of its own.
    """
    return 1 if data_centres >= MIN_FOLLOWERS else MAX_PER_CENTRE


def choose(by_seniority: Iterable[tuple[str, bool]], wanted: int) -> list[str]:
    """Return the names of the followers of a data centre.

    They are the oldest nodes, until enough of them are answered: one that the store turns away
    goes on asking, and counts for nothing.

    Args:
      by_seniority: names of its live nodes and whether the store answers them, the oldest first.
      wanted: how many that the store answers are to follow it.
    """
    chosen: list[str] = []
    answered = 0
    for name, reaches_store in by_seniority:
        if answered >= wanted:
            break
        chosen.append(name)
        answered += reaches_store
    return chosen
