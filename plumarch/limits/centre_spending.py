"""What the nodes of other data centres spend of allotments, as their coordinators sum it up.

Each data centre has two coordinators or more that tell the same sum, each as it counted since its
own start. One of them is charged by; what another one told meanwhile is kept, and charged if the
first falls silent, so that a coordinator's death loses nothing and counts nothing twice.

A data centre that was silent as a whole, and is heard again, tells by the same coordinators what it
spent meanwhile: these are kept for a while.
"""

import dataclasses
from collections.abc import Mapping

from plumarch.core import clock

KEPT_MS = 30_000
"""How long the coordinators of a data centre are kept that fell silent as a whole; nodes are
forgotten after the same time."""


@dataclasses.dataclass(slots=True)
class Author:
    """One coordinator of another data centre.

    Attributes:
      name: its name and incarnation.
      told: its sums, by workspace.
      uncharged: what it told of since the one charged by told last, by workspace.
    """

    name: str
    heard_ms: int
    told: dict[str, float] = dataclasses.field(default_factory=dict)
    uncharged: dict[str, float] = dataclasses.field(default_factory=dict)

    def take_in(self, sums: Mapping[str, float], now: int) -> None:
        """Take in its sums; the first one of a workspace is where counting begins."""
        self.heard_ms = now
        for workspace, spent in sums.items():
            known = self.told.get(workspace)
            self.told[workspace] = spent
            if known is not None and spent != known:
                self.uncharged[workspace] = self.uncharged.get(workspace, 0.0) + spent - known

    def take_uncharged(self) -> dict[str, float]:
        """Return what is not charged yet, which from now on is."""
        found, self.uncharged = self.uncharged, {}
        return found


@dataclasses.dataclass(slots=True)
class CentreSpending:
    """The coordinators that told sums, by data centre; the first one is charged by.

    Attributes:
      silent: those that were heard last before a data centre fell silent as a whole.
    """

    clock: clock.Clock
    authors: dict[str, list[Author]] = dataclasses.field(default_factory=dict)
    silent: dict[str, list[Author]] = dataclasses.field(default_factory=dict)

    def charge(
        self,
        data_centre: str,
        author: str,
        sums: Mapping[str, float],
        silence_ms: float,
        leads: bool = False,
    ) -> dict[str, float]:
        """Take in one coordinator's sums.

        Args:
          author: its name and incarnation.
          sums: units spent since it began to count, by workspace.
          silence_ms: from this silence on another one is charged by.
          leads: whether it is the oldest one as it believes, which tells most often.
        Returns:
          What is to be charged now, by workspace.
        """
        now = self.clock.now()
        known = self.authors.setdefault(data_centre, [])
        self._drop_silent(data_centre, known, now, silence_ms)
        teller = next((one for one in known if one.name == author), None)
        if teller is None:
            teller = self._back(data_centre, author, now) if not known else None
            teller = teller or Author(author, now)
            known.append(teller)
        teller.take_in(sums, now)
        if leads:
            known.remove(teller)
            known.insert(0, teller)
        if teller is not known[0]:
            return {}
        for other in known[1:]:
            other.uncharged.clear()
        return teller.take_uncharged()

    def _drop_silent(
        self, data_centre: str, known: list[Author], now: int, silence_ms: float
    ) -> None:
        """Drop those that fell silent; all at once are kept aside, since they may come back."""
        live = [one for one in known if now - one.heard_ms <= silence_ms]
        if known and not live:
            self.silent[data_centre] = list(known)
        known[:] = live

    def _back(self, data_centre: str, name: str, now: int) -> Author | None:
        """Return a coordinator whose data centre is heard again, as it was known before.

        The others begin anew: what they told until now is in its sums.
        """
        before = self.silent.pop(data_centre, [])
        found = next((one for one in before if one.name == name), None)
        return found if found is not None and now - found.heard_ms <= KEPT_MS else None
