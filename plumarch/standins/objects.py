"""The object API's behaviour in memory: versions, conditional updates, and faults by name."""

import dataclasses
import random

MAX_HISTORY = 200
"""Changes kept for watches; one that asks for older ones is told "too old"."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """An object; its version is the store's revision at its last write."""

    version: int
    value: bytes


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong, switched on by name.

    Attributes:
      down: no call gets through.
      lose_answers: share of writes that take effect but whose answer is lost.
      refuse: share of calls that never arrive.
      slow_ms: time added to each call.
      forget_history: watches are told "too old".
    """

    down: bool = False
    lose_answers: float = 0.0
    refuse: float = 0.0
    slow_ms: int = 0
    forget_history: bool = False


class Conflict(Exception):
    """The version was not the expected one."""


class TooOld(Exception):
    """The history no longer reaches back that far."""


class ObjectStore:
    """Named objects, one revision counter, and a short history of changed names."""

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
        """Write an object if its version is the expected one (0: absent).

        Returns:
          The new version.
        Raises:
          Conflict: the version is another one.
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
          TooOld: the history does not reach back that far.
        """
        self.reads += 1
        reaches = not self.history or self.history[0][0] <= revision + 1
        if self.faults.forget_history or (revision < self.revision and not reaches):
            raise TooOld(str(revision))
        return sorted({n for r, n in self.history if r > revision and n.startswith(prefix)})
