"""In-memory object store with injected faults."""

import dataclasses
import random

MAX_HISTORY = 200
"""Retained changes; a watch from an earlier revision raises TooOld."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """An object with the store revision of its last write."""

    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to inject.

    Attributes:
      lose_answers: fraction of writes that succeed but whose response is lost.
      refuse: fraction of calls that fail before taking effect.
      forget_history: watches raise TooOld.
    """

    down: bool = False
    lose_answers: float = 0.0
    refuse: float = 0.0
    slow_ms: int = 0
    forget_history: bool = False


class Conflict(Exception):
    """The object's version is not the expected one."""


class TooOld(Exception):
    """The retained history starts after the requested revision."""


class ObjectStore:
    """Named objects with a common revision counter and a bounded change history."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.objects: dict[str, Stored] = {}
        self.revision = 0
        self.history: list[tuple[int, str]] = []
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def get(self, name: str) -> Stored | None:
        """Return an object, or None."""
        self.reads += 1
        return self.objects.get(name)

    def listing(self, prefix: str) -> dict[str, Stored]:
        """Return the objects whose names begin with a prefix."""
        self.reads += 1
        return {n: o for n, o in sorted(self.objects.items()) if n.startswith(prefix)}

    def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write an object if its version matches; 0 stands for an absent object.

        Returns:
          The new version.
        Raises:
          Conflict: the version does not match.
        """
        self.writes += 1
        current = self.objects.get(name)
        version = current.version if current else 0
        if version != expected_version:
            raise Conflict(name)
        self.revision += 1
        self.objects[name] = Stored(self.revision, value)
        self.history.append((self.revision, name))
        del self.history[:-MAX_HISTORY]
        return self.revision

    def changes_since(self, revision: int, prefix: str) -> list[str]:
        """Return the names with a prefix that changed after a revision.

        Raises:
          TooOld: the revision precedes the retained history.
        """
        self.reads += 1
        reaches = not self.history or self.history[0][0] <= revision + 1
        if self.faults.forget_history or (revision < self.revision and not reaches):
            raise TooOld(str(revision))
        return sorted({n for r, n in self.history if r > revision and n.startswith(prefix)})
