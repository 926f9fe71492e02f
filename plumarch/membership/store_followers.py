"""Which nodes of a large fleet follow the platform's store.

Each change costs one paid call per follower; the other nodes receive it by gossip.
"""

from collections.abc import Iterable

MIN_FOLLOWERS = 5
"""Minimum followers of a fleet with at least that many reachable data centres; all but one may fail
at once."""

MAX_PER_CENTRE = 2
"""Followers of each data centre if fewer data centres are reachable."""


def per_centre(data_centres: int) -> int:
    """Return how many nodes of each data centre follow the store.

    Args:
      data_centres: the reachable ones, the own one included, so that each side of a partition soon
        has enough followers.
    """
    return 1 if data_centres >= MIN_FOLLOWERS else MAX_PER_CENTRE


def choose(by_seniority: Iterable[tuple[str, bool]], wanted: int) -> list[str]:
    """Return the names of the followers of a data centre.

    The most senior nodes are chosen until enough of them reach the store; those that don't keep
    trying.

    Args:
      by_seniority: names of its live nodes and whether they reach the store, most senior first.
      wanted: the number of followers that reach the store.
    """
    chosen: list[str] = []
    reaching = 0
    for name, reaches_store in by_seniority:
        if reaching >= wanted:
            break
        chosen.append(name)
        reaching += reaches_store
    return chosen
