"""Store entries that can't be decoded: ignored, logged once and counted for operators."""

import dataclasses
from collections.abc import Iterable

from plumarch.core import records
from plumarch.gateway import decision_log, measures

MAX_LOGGED = 20
"""Entries of a kind that are logged and listed one by one; beyond that, only counted."""

MAX_WHY_CHARS = 300
"""Length limit of a logged reason, in characters."""


@dataclasses.dataclass(slots=True)
class UnreadableEntries:
    """The current undecodable entries, by kind and name."""

    log: decision_log.DecisionLog
    measures: measures.Measures
    known: dict[str, dict[str, records.Unreadable]] = dataclasses.field(default_factory=dict)

    def listed(self, kind: str, found: Iterable[records.Unreadable]) -> None:
        """Replace the entries of a kind after a listing."""
        before = self.known.get(kind, {})
        self.known[kind] = {one.name: one for one in found}
        for one in self.known[kind].values():
            self._log(one, before.get(one.name))
        self._update_gauge(kind)

    def changed(
        self, kind: str, read_or_gone: Iterable[str], found: Iterable[records.Unreadable]
    ) -> None:
        """Apply changes after a watch.

        Args:
          read_or_gone: names of entries that are decodable or removed.
        """
        known = self.known.setdefault(kind, {})
        for name in read_or_gone:
            known.pop(name, None)
        for one in found:
            before, known[one.name] = known.get(one.name), one
            self._log(one, before)
        self._update_gauge(kind)

    def _log(self, one: records.Unreadable, before: records.Unreadable | None) -> None:
        """Log an entry, once a revision."""
        if before is not None and before.revision == one.revision:
            return
        if len(self.known[one.kind]) > MAX_LOGGED:
            return
        self.log.write(
            "entry_unreadable",
            urgent=True,
            entry_kind=one.kind,
            name=one.name,
            revision=one.revision,
            why=one.why[:MAX_WHY_CHARS],
        )

    def _update_gauge(self, kind: str) -> None:
        self.measures.unreadable.set(len(self.known[kind]), kind)

    def lines(self) -> list[str]:
        """Return a line for each entry, for the status page."""
        return [
            f"{kind} {one.name or '(no name)'} revision {one.revision}: {one.why[:MAX_WHY_CHARS]}"
            for kind, found in sorted(self.known.items())
            for one in list(found.values())[:MAX_LOGGED]
        ]
