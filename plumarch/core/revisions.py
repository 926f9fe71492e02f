"""Revisions of the platform's store, ordered across its eras.

A store that comes back from an older copy begins a new era and assigns revisions again. A revision
here holds the era in its upper bits and the store's own number in the lower ones, so that any of a
later era is newer. In era 0, of a store that sends none, it is the store's own number.
"""

NUMBER_BITS = 40
NUMBER_MASK = (1 << NUMBER_BITS) - 1


def of(era: int, number: int) -> int:
    """Return the revision for a number that the store assigned in an era."""
    return era << NUMBER_BITS | number


def era(revision: int) -> int:
    """Return a revision's era; negative if nothing is known yet."""
    return revision >> NUMBER_BITS


def number(revision: int) -> int:
    """Return the store's own number of a revision; negative if nothing is known yet."""
    return revision & NUMBER_MASK if revision >= 0 else revision


def shown(revision: int) -> int | str:
    """Return a revision for logs: "era.number", or the number alone in era 0."""
    return revision if era(revision) <= 0 else f"{era(revision)}.{number(revision)}"
