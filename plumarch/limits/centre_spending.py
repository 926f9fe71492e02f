"""What the nodes of other data centres spend of allotments, as their coordinators sum it up.

Each data centre has two coordinators or more that tell the same sum, each as it counted since its
own start. One of them is charged by; what another one told meanwhile is kept, and charged if the
first falls silent, so that a coordinator's death loses nothing and counts nothing twice.

A data centre that was silent as a whole, and is heard again, tells by the same coordinators what it
spent meanwhile: these are kept for a while.

Coordinators that come after one another count on in the same ledger, so that what was spent while
nobody told it isn't lost: a new one's first sum is compared with the last one that was charged.
"""

import dataclasses
from collections.abc import Mapping

from plumarch.core import clock

RETENTION_MS = 30_000
"""How long the coordinators of a data centre are kept that fell silent as a whole; nodes are
forgotten after the same time."""

LEDGERS_KEPT = 4
"""Ledgers of a data centre that are remembered. It has one, and for some rounds after all its
coordinators died at once two or three until these have heard each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """Who began to count what a coordinator tells.

    Attributes:
      name: of the coordinator that began it and its incarnation; "" where none is told.
      begun_since: whether that was after this node's own start.
    """

    name: str = ""
    begun_since: bool = False


UNNAMED = Ledger()


@dataclasses.dataclass(slots=True)
class Author:
    """One coordinator of another data centre.

    Attributes:
      name: its name and incarnation.
      ledger: the one in which it counts.
      told: its sums, by workspace.
      uncharged: what it told of since the one charged by told last, by workspace.
      base: what its first sums are compared with. One that isn't there is where counting begins,
        unless the ledger began while this node counted.
    """

    name: str
    last_seen_ms: int
    ledger: Ledger = UNNAMED
    told: dict[str, float] = dataclasses.field(default_factory=dict)
    uncharged: dict[str, float] = dataclasses.field(default_factory=dict)
    base: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def take_in(self, sums: Mapping[str, float], now: int) -> None:
        """Take in its sums."""
        self.last_seen_ms = now
        for workspace, spent in sums.items():
            if workspace in self.told:
                more = spent - self.told[workspace]
            else:
                more = self._first(workspace, spent)
            self.told[workspace] = spent
            if more:
                self.uncharged[workspace] = self.uncharged.get(workspace, 0.0) + more

    def _first(self, workspace: str, spent: float) -> float:
        """Return what a workspace's first sum tells that is not charged yet.

        Two coordinators differ by a little: one that counted less has nothing to give back.
        """
        if workspace in self.base:
            return max(0.0, spent - self.base[workspace])
        return spent if self.ledger.begun_since else 0.0

    def take_uncharged(self) -> dict[str, float]:
        """Return what is not charged yet, which from now on is."""
        found, self.uncharged = self.uncharged, {}
        return found


@dataclasses.dataclass(slots=True)
class CentreSpending:
    """The coordinators that told sums, by data centre; the first one is charged by.

    Attributes:
      silent: those that were heard last before a data centre fell silent as a whole.
      last: the ones that were charged by last, by data centre and ledger, whether they live or not.
    """

    clock: clock.Clock
    authors: dict[str, list[Author]] = dataclasses.field(default_factory=dict)
    silent: dict[str, list[Author]] = dataclasses.field(default_factory=dict)
    last: dict[str, dict[str, Author]] = dataclasses.field(default_factory=dict)

    def charge(
        self,
        data_centre: str,
        author: str,
        sums: Mapping[str, float],
        alive_timeout_ms: float,
        leads: bool = False,
        ledger: Ledger = UNNAMED,
    ) -> dict[str, float]:
        """Take in one coordinator's sums.

        Args:
          author: its name and incarnation.
          sums: units spent since it began to count, by workspace.
          alive_timeout_ms: from this silence on another one is charged by.
          leads: whether it is the oldest one as it believes, which tells most often.
          ledger: in which it counts.
        Returns:
          What is to be charged now, by workspace.
        """
        now = self.clock.now()
        known = self.authors.setdefault(data_centre, [])
        self._drop_silent(data_centre, known, now, alive_timeout_ms)
        teller = next((one for one in known if one.name == author), None)
        if teller is not None and teller.ledger.name != ledger.name:
            # It counts on in another one's ledger: what it told before is not to be compared.
            known.remove(teller)
            teller = None
        if teller is None:
            teller = self._back(data_centre, author, now) if not known else None
            if teller is None or teller.ledger.name != ledger.name:
                teller = Author(author, now, ledger, base=self._base(data_centre, ledger))
            known.append(teller)
        teller.take_in(sums, now)
        if leads:
            known.remove(teller)
            known.insert(0, teller)
        if teller is not known[0]:
            return {}
        for other in known[1:]:
            other.uncharged.clear()
        self._remember(data_centre, teller)
        return teller.take_uncharged()

    def forget(self) -> None:
        """Forget all sums: others charge this node's buckets from now on."""
        self.authors.clear()
        self.silent.clear()
        self.last.clear()

    def _remember(self, data_centre: str, teller: Author) -> None:
        """Keep the one that is charged by, for those that count on in its ledger."""
        last = self.last.setdefault(data_centre, {})
        last.pop(teller.ledger.name, None)
        last[teller.ledger.name] = teller
        while len(last) > LEDGERS_KEPT:
            del last[next(iter(last))]

    def _base(self, data_centre: str, ledger: Ledger) -> Mapping[str, float]:
        """Return what is charged already of what a new coordinator's first sums tell."""
        last = self.last.get(data_centre, {}).get(ledger.name)
        return last.told if last is not None and ledger.name else {}

    def _drop_silent(
        self, data_centre: str, known: list[Author], now: int, alive_timeout_ms: float
    ) -> None:
        """Drop those that fell silent; all at once are kept aside, since they may come back."""
        live = [one for one in known if now - one.last_seen_ms <= alive_timeout_ms]
        if known and not live:
            self.silent[data_centre] = list(known)
        known[:] = live

    def _back(self, data_centre: str, name: str, now: int) -> Author | None:
        """Return a coordinator whose data centre is heard again, as it was known before.

        The others begin anew: what they told until now is in its sums.
        """
        before = self.silent.pop(data_centre, [])
        found = next((one for one in before if one.name == name), None)
        return found if found is not None and now - found.last_seen_ms <= RETENTION_MS else None
