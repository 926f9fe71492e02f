"""Revisions of a later era are newer, whatever their numbers."""

import random

from plumarch.core import revisions


def test_any_revision_of_a_later_era_is_newer():
    rng = random.Random(1)
    pairs = [(rng.randrange(5), rng.randrange(1 << 30)) for _ in range(500)]
    assert sorted(pairs) == sorted(pairs, key=lambda pair: revisions.of(*pair))


def test_era_and_number_are_returned_as_given():
    revision = revisions.of(3, 47)
    assert (revisions.era(revision), revisions.number(revision)) == (3, 47)
    assert revisions.shown(revision) == "3.47"


def test_a_store_without_eras_has_its_own_numbers():
    assert revisions.of(0, 47) == revisions.shown(47) == 47
    assert revisions.era(-1) == revisions.number(-1) == revisions.of(0, -1) == -1
