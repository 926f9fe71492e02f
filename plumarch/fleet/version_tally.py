"""Counts of the answers of a service's versions by route, over all nodes.

Counts only grow. Each node reports its own; a coordinator reports the sum of its data centre.
"""

import dataclasses
from collections.abc import Callable, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class TallyKey:
    """Key of a tally."""

    service: str
    version: str
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Number of answers, and of those that failed or were far too slow."""

    answers: int = 0
    bad: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both."""
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def since(self, earlier: "Tally") -> "Tally":
        """Return the counts since earlier ones."""
        answers = max(0, self.answers - earlier.answers)
        return Tally(answers, min(answers, max(0, self.bad - earlier.bad)))


@dataclasses.dataclass(frozen=True, slots=True)
class VersionPair:
    """Tallies of a new version and of all others."""

    new: Tally
    old: Tally

    def plus(self, other: "VersionPair") -> "VersionPair":
        """Return the sum of both."""
        return VersionPair(self.new.plus(other.new), self.old.plus(other.old))

    def since(self, earlier: "VersionPair") -> "VersionPair":
        """Return the counts since earlier ones."""
        return VersionPair(self.new.since(earlier.new), self.old.since(earlier.old))


NOTHING_COUNTED = VersionPair(Tally(), Tally())


@dataclasses.dataclass(slots=True)
class TallyBook:
    """Own and reported counts.

    Attributes:
      reported: by incarnation or data centre.
    """

    own: dict[TallyKey, Tally] = dataclasses.field(default_factory=dict)
    reported: dict[str, dict[TallyKey, Tally]] = dataclasses.field(default_factory=dict)

    def count(self, key: TallyKey, bad: bool) -> None:
        """Count an answer."""
        self.own[key] = self.own.get(key, Tally()).plus(Tally(1, int(bad)))

    def merge_report(self, source: str, tallies: Mapping[TallyKey, Tally]) -> None:
        """Merge a source's counts; the larger count of a key prevails."""
        known = self.reported.setdefault(source, {})
        for key, tally in tallies.items():
            before = known.get(key)
            if before is None or tally.answers >= before.answers:
                known[key] = tally

    def total(
        self, counts_in: Callable[[str], bool] = lambda source: True
    ) -> dict[TallyKey, Tally]:
        """Return the sums over all sources.

        Args:
          counts_in: whether to include a source.
        """
        total = dict(self.own)
        for source, tallies in self.reported.items():
            if not counts_in(source):
                continue
            for key, tally in tallies.items():
                total[key] = total.get(key, Tally()).plus(tally)
        return total

    def by_route(self, service: str, version: str) -> dict[str, VersionPair]:
        """Return the tallies of a version and of all others of a service, by route."""
        new: dict[str, Tally] = {}
        old: dict[str, Tally] = {}
        for key, tally in self.total().items():
            if key.service == service:
                side = new if key.version == version else old
                side[key.route] = side.get(key.route, Tally()).plus(tally)
        return {
            route: VersionPair(new.get(route, Tally()), old.get(route, Tally()))
            for route in sorted(new.keys() | old.keys())
        }

    def forget_service(self, service: str) -> None:
        """Drop the counts of a service."""
        for counts in (self.own, *self.reported.values()):
            for key in [key for key in counts if key.service == service]:
                del counts[key]
