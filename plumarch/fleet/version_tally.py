"""Answers of the versions of a service, counted by route over all nodes.

Counts only grow. Each node tells its own; a coordinator tells the sum of its data centre.
"""

import dataclasses
from collections.abc import Callable, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class TallyKey:
    """What is counted apart."""

    service: str
    version: str
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Answers, and those of them that failed or came several times too late."""

    answers: int = 0
    bad: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both."""
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def since(self, earlier: "Tally") -> "Tally":
        """Return what was counted after an earlier count."""
        answers = max(0, self.answers - earlier.answers)
        return Tally(answers, min(answers, max(0, self.bad - earlier.bad)))


@dataclasses.dataclass(frozen=True, slots=True)
class VersionPair:
    """The tallies of a new version and of all others, of the same requests."""

    new: Tally
    old: Tally

    def plus(self, other: "VersionPair") -> "VersionPair":
        """Return the sum of both."""
        return VersionPair(self.new.plus(other.new), self.old.plus(other.old))

    def since(self, earlier: "VersionPair") -> "VersionPair":
        """Return what was counted after an earlier count."""
        return VersionPair(self.new.since(earlier.new), self.old.since(earlier.old))


NOTHING_COUNTED = VersionPair(Tally(), Tally())


@dataclasses.dataclass(slots=True)
class TallyBook:
    """Counts of this process and of those that it heard.

    Attributes:
      heard: by an incarnation's or data centre's name.
    """

    own: dict[TallyKey, Tally] = dataclasses.field(default_factory=dict)
    reported: dict[str, dict[TallyKey, Tally]] = dataclasses.field(default_factory=dict)

    def count(self, key: TallyKey, bad: bool) -> None:
        """Count an answer."""
        self.own[key] = self.own.get(key, Tally()).plus(Tally(1, int(bad)))

    def merge_report(self, source: str, told: Mapping[TallyKey, Tally]) -> None:
        """Take in what a source counted; of a key told before, the larger count stands."""
        known = self.reported.setdefault(source, {})
        for key, tally in told.items():
            before = known.get(key)
            if before is None or tally.answers >= before.answers:
                known[key] = tally

    def total(
        self, counts_in: Callable[[str], bool] = lambda source: True
    ) -> dict[TallyKey, Tally]:
        """Return the sums over this process and what sources told.

        Args:
          counts_in: whether what a source told is part of it.
        """
        total = dict(self.own)
        for source, told in self.reported.items():
            if not counts_in(source):
                continue
            for key, tally in told.items():
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
        """Drop all counts of a service, whose roll-out is over."""
        for counts in (self.own, *self.reported.values()):
            for key in [key for key in counts if key.service == service]:
                del counts[key]
