"""Deterministic text for each seed, so that answers of stand-in engines can be checked."""

from plumarch.core import hashing

WORDS = ("pump", "valve", "sensor", "lease", "rate", "offer", "diff", "key", "ticket", "term")


def token(seed: int, position: int) -> str:
    """Return the token at a position of the answer for a seed."""
    number = hashing.digest(str(seed), str(position))
    return f"{WORDS[number % len(WORDS)]}{number % 97} "


def answer(seed: int, count: int) -> list[str]:
    """Return all tokens of the answer for a seed."""
    return [token(seed, position) for position in range(count)]
