"""Which nodes of a large fleet follow the platform's store.

Each change costs a paid call per follower; others receive it by gossip.
"""

from collections.abc import Iterable

MIN_FOLLOWERS = 5
"""Minimum followers in as many or more reachable data centres; all but one may fail."""

MAX_PER_CENTRE = 2
"""Followers per data centre if fewer are reachable."""


def per_centre(data_centres: int) -> int:
    """Return the number of followers per data centre.

    Args:
      data_centres: reachable ones, with the own, so that each side of a partition has enough.
    """
    return 1 if data_centres >= MIN_FOLLOWERS else MAX_PER_CENTRE


def choose(by_seniority: Iterable[tuple[str, bool]], wanted: int) -> list[str]:
    """Return a data centre's followers.

    The most senior are chosen until enough reach the store; those that don't keep trying.

    Args:
      by_seniority: live nodes and whether they reach the store, most senior first.
      wanted: followers that reach the store.
    """
    chosen: list[str] = []
    reaching = 0
    for name, reaches_store in by_seniority:
        if reaching >= wanted:
            break
        chosen.append(name)
        reaching += reaches_store
    return chosen
