"""Charges the quota spending of other data centres as reported by their coordinators.

All coordinators of a data centre report the same spending, each as counted by itself. Only one
reporter is charged by; the increases of the others are charged if it stops responding. The first
sum of its successor in the ledger is compared with the last one charged.
"""

import dataclasses
from collections.abc import Mapping

from plumarch.core import clock

RETENTION_MS = 30_000
"""How long the coordinators of an unresponsive data centre are kept, as long as its nodes."""

MAX_LEDGERS = 4
"""Ledgers remembered for a data centre. It has one; for some rounds after all its coordinators
crashed at once, two or three, until these have reached each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """The count that a coordinator's sums belong to.

    Attributes:
      name: name and incarnation of the coordinator that began it; "" if not reported.
      began_after_start: whether it began after this node's start.
    """

    name: str = ""
    began_after_start: bool = False


UNNAMED = Ledger()


@dataclasses.dataclass(slots=True)
class Reporter:
    """One coordinator of another data centre.

    Attributes:
      name: its name and incarnation.
      reported: its sums, by workspace.
      uncharged: increases since the last charged report, by workspace.
      base: sums that its first ones are compared with. A missing workspace is charged from its
        first sum on, or completely if the ledger began after this node's start.
    """

    name: str
    last_seen_ms: int
    ledger: Ledger = UNNAMED
    reported: dict[str, float] = dataclasses.field(default_factory=dict)
    uncharged: dict[str, float] = dataclasses.field(default_factory=dict)
    base: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def apply_sums(self, sums: Mapping[str, float], now: int) -> None:
        """Record its sums and their increases."""
        self.last_seen_ms = now
        for workspace, spent in sums.items():
            if workspace in self.reported:
                more = spent - self.reported[workspace]
            else:
                more = self._first_increase(workspace, spent)
            self.reported[workspace] = spent
            if more:
                self.uncharged[workspace] = self.uncharged.get(workspace, 0.0) + more

    def _first_increase(self, workspace: str, spent: float) -> float:
        """Return the uncharged units of a workspace's first sum.

        Counts of two coordinators differ slightly; a lower one is no refund.
        """
        if workspace in self.base:
            return max(0.0, spent - self.base[workspace])
        return spent if self.ledger.began_after_start else 0.0

    def pop_uncharged(self) -> dict[str, float]:
        """Return the uncharged units and mark them as charged."""
        found, self.uncharged = self.uncharged, {}
        return found


@dataclasses.dataclass(slots=True)
class CentreSpending:
    """Coordinators that reported sums, by data centre; the first one is charged by.

    Attributes:
      unresponsive: the last live coordinators of data centres that stopped responding.
      last_charged: last charged reporters, alive or not, by data centre and ledger.
    """

    clock: clock.Clock
    reporters: dict[str, list[Reporter]] = dataclasses.field(default_factory=dict)
    unresponsive: dict[str, list[Reporter]] = dataclasses.field(default_factory=dict)
    last_charged: dict[str, dict[str, Reporter]] = dataclasses.field(default_factory=dict)

    def charge(
        self,
        data_centre: str,
        reporter_id: str,
        sums: Mapping[str, float],
        alive_timeout_ms: float,
        is_most_senior: bool = False,
        ledger: Ledger = UNNAMED,
    ) -> dict[str, float]:
        """Apply one coordinator's sums.

        Args:
          reporter_id: its name and incarnation.
          sums: units spent since it began to count, by workspace.
          alive_timeout_ms: time without a report after which a reporter is replaced.
          is_most_senior: whether it considers itself the most senior one, which reports most often.
        Returns:
          Units to charge now, by workspace.
        """
        now = self.clock.now()
        known = self.reporters.setdefault(data_centre, [])
        self._drop_unresponsive(data_centre, known, now, alive_timeout_ms)
        reporter = next((one for one in known if one.name == reporter_id), None)
        if reporter is not None and reporter.ledger.name != ledger.name:
            # Sums of different ledgers can't be compared.
            known.remove(reporter)
            reporter = None
        if reporter is None:
            reporter = self._returning(data_centre, reporter_id, now) if not known else None
            if reporter is None or reporter.ledger.name != ledger.name:
                reporter = Reporter(reporter_id, now, ledger, base=self._base(data_centre, ledger))
            known.append(reporter)
        reporter.apply_sums(sums, now)
        if is_most_senior:
            known.remove(reporter)
            known.insert(0, reporter)
        if reporter is not known[0]:
            return {}
        for other in known[1:]:
            other.uncharged.clear()
        self._record_charged(data_centre, reporter)
        return reporter.pop_uncharged()

    def forget(self) -> None:
        """Drop all sums when this node no longer coordinates."""
        self.reporters.clear()
        self.unresponsive.clear()
        self.last_charged.clear()

    def _record_charged(self, data_centre: str, reporter: Reporter) -> None:
        """Remember a charged reporter for its successors in the ledger."""
        last = self.last_charged.setdefault(data_centre, {})
        last.pop(reporter.ledger.name, None)
        last[reporter.ledger.name] = reporter
        while len(last) > MAX_LEDGERS:
            del last[next(iter(last))]

    def _base(self, data_centre: str, ledger: Ledger) -> Mapping[str, float]:
        """Return the charged sums of a ledger, which a new coordinator continues."""
        last = self.last_charged.get(data_centre, {}).get(ledger.name)
        return last.reported if last is not None and ledger.name else {}

    def _drop_unresponsive(
        self, data_centre: str, known: list[Reporter], now: int, alive_timeout_ms: float
    ) -> None:
        """Drop unresponsive reporters; if all are, set them aside for their return."""
        live = [one for one in known if now - one.last_seen_ms <= alive_timeout_ms]
        if known and not live:
            self.unresponsive[data_centre] = list(known)
        known[:] = live

    def _returning(self, data_centre: str, name: str, now: int) -> Reporter | None:
        """Return a returning coordinator's record; its sums include those of the others."""
        before = self.unresponsive.pop(data_centre, [])
        found = next((one for one in before if one.name == name), None)
        return found if found is not None and now - found.last_seen_ms <= RETENTION_MS else None
