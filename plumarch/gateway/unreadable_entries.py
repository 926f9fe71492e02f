"""Undecodable store entries: ignored, logged once and counted."""

import dataclasses
from collections.abc import Iterable

from plumarch.core import records
from plumarch.gateway import decision_log, measures

MAX_LOGGED = 20
"""Entries of a kind that are logged one by one; further ones are only counted."""

MAX_WHY_CHARS = 300
"""Maximum characters of a logged reason."""


@dataclasses.dataclass(slots=True)
class UnreadableEntries:
    """Undecodable entries, by kind and name."""

    log: decision_log.DecisionLog
    measures: measures.Measures
    known: dict[str, dict[str, records.Unreadable]] = dataclasses.field(default_factory=dict)

    def listed(self, kind: str, found: Iterable[records.Unreadable]) -> None:
        """Replace a kind's entries after a listing."""
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
          read_or_gone: names of decodable or removed entries.
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
        """Return a line for each entry."""
        return [
            f"{kind} {one.name or '(no name)'} revision {one.revision}: {one.why[:MAX_WHY_CHARS]}"
            for kind, found in sorted(self.known.items())
            for one in list(found.values())[:MAX_LOGGED]
        ]
