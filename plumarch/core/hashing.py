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
    """Order candidates for a subject by rendezvous hashing, best first.

    Removing a name reassigns only its own subjects.
    """
    return sorted(names, key=lambda name: (-digest(subject, name), name))


def rendezvous_top(subject: int, names: Iterable[str], count: int) -> list[str]:
    """Return the top names for a subject that is already a 64-bit hash.

    Cheaper than rendezvous(), but in another order.
    """
    prefix = subject.to_bytes(8, "big")
    ranked = [(-xxhash.xxh3_64_intdigest(prefix + name.encode()), name) for name in names]
    return [name for _, name in heapq.nsmallest(count, ranked)]
