"""Hashing that is stable across processes and hosts."""

import heapq
from collections.abc import Iterable

import xxhash


def digest(*parts: str | bytes) -> int:
    """Return a 64-bit hash of the parts, each prefixed by its length."""
    state = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.intdigest()


def rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing (highest random weight) for a subject.

    Args:
      subject: the item to assign, for example a slot's name.
      names: the candidates.
    Returns:
      The candidates, best first. Removing one reassigns only its own subjects.
    """
    return sorted(names, key=lambda name: (-digest(subject, name), name))


def rendezvous_top(subject: int, names: Iterable[str], count: int) -> list[str]:
    """Return the top names by rendezvous hashing of an already hashed subject.

    Cheaper than rendezvous(), for the request path; the two order names differently.

    Args:
      subject: 64-bit hash of the item to assign.
    """
    prefix = subject.to_bytes(8, "big")
    ranked = [(-xxhash.xxh3_64_intdigest(prefix + name.encode()), name) for name in names]
    return [name for _, name in heapq.nsmallest(count, ranked)]
