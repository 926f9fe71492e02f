"""Counts of started requests by workspace and time window.

The duty holder sums them once a window is over. Counts of a node that is gone remain with the nodes
that received them.
"""

import collections
import dataclasses
from collections.abc import Callable, Mapping

RETAINED_WINDOWS = 8

WindowCounts = Mapping[int, Mapping[str, int]]


@dataclasses.dataclass(slots=True)
class UsageCounter:
    """Usage counts of this node and of those reported by others.

    Attributes:
      window_ms: window k starts k lengths after the Unix epoch.
      own: by window and workspace.
      reports: counts that other nodes reported, by incarnation or group.
    """

    window_ms: int
    own: dict[int, collections.Counter[str]] = dataclasses.field(default_factory=dict)
    reports: dict[str, dict[int, dict[str, int]]] = dataclasses.field(default_factory=dict)

    def started(self, workspace: str, wall_ms: float) -> None:
        """Count a request that started at a wall-clock time."""
        window = self.window_at(wall_ms)
        self.own.setdefault(window, collections.Counter())[workspace] += 1
        self._drop_old(window)

    def window_at(self, wall_ms: float) -> int:
        """Return the number of the window at a wall-clock time."""
        return int(wall_ms // self.window_ms)

    def _drop_old(self, window: int) -> None:
        for old in [number for number in self.own if number < window - RETAINED_WINDOWS]:
            del self.own[old]

    def recent(self, wall_ms: float, windows: int) -> dict[int, dict[str, int]]:
        """Return this node's counts of the newest windows."""
        oldest = self.window_at(wall_ms) - windows
        return {number: dict(counts) for number, counts in self.own.items() if number > oldest}

    def apply_node_report(self, node: str, counts: WindowCounts) -> None:
        """Apply an incarnation's counts, which replace earlier ones."""
        known = self.reports.setdefault(node, {})
        for number, reported in counts.items():
            known[number] = dict(reported)
        newest = max(known, default=0)
        for old in [number for number in known if number < newest - RETAINED_WINDOWS]:
            del known[old]
        if not known:
            del self.reports[node]

    def apply_centre_summary(self, group: str, counts: WindowCounts) -> None:
        """Merge the counts of a group by maximum, since each reporter may have missed some."""
        known = self.reports.get(group, {})
        largest = {
            number: {
                name: max(reported.get(name, 0), known.get(number, {}).get(name, 0))
                for name in reported.keys() | known.get(number, {}).keys()
            }
            for number, reported in counts.items()
        }
        self.apply_node_report(group, largest)

    def total(
        self, window: int, counts_in: Callable[[str], bool] = lambda name: True
    ) -> dict[str, int]:
        """Return the counts of a window over all nodes.

        Args:
          counts_in: whether to include an incarnation or group.
        """
        total: collections.Counter[str] = collections.Counter(self.own.get(window, {}))
        for name, counts in self.reports.items():
            if counts_in(name):
                total.update(counts.get(window, {}))
        return dict(sorted(total.items()))
