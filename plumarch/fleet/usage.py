"""Requests that began to run, counted by workspace and window of true time.

Each node counts its own and tells its peers; the node that holds the duty adds them up when
a window is over. Counts of a node that is gone stay with those that heard them.
"""

import collections
import dataclasses
from collections.abc import Callable, Mapping

RETAINED_WINDOWS = 8

WindowCounts = Mapping[int, Mapping[str, int]]


@dataclasses.dataclass(slots=True)
class UsageCounter:
    """Counts of this node and of those that it heard.

    Attributes:
      window_ms: a window's length; window k begins k lengths after the start of 1970.
      own: this process's counts, by window and workspace.
      heard: other incarnations' counts, by incarnation.
    """

    window_ms: int
    own: dict[int, collections.Counter[str]] = dataclasses.field(default_factory=dict)
    heard: dict[str, dict[int, dict[str, int]]] = dataclasses.field(default_factory=dict)

    def began(self, workspace: str, wall_ms: float) -> None:
        """Count a request that began to run at a time of day."""
        window = self.window_at(wall_ms)
        self.own.setdefault(window, collections.Counter())[workspace] += 1
        self._drop_old(window)

    def window_at(self, wall_ms: float) -> int:
        """Return the number of the window that holds a time of day."""
        return int(wall_ms // self.window_ms)

    def _drop_old(self, window: int) -> None:
        for old in [number for number in self.own if number < window - RETAINED_WINDOWS]:
            del self.own[old]

    def recent(self, wall_ms: float, windows: int) -> dict[int, dict[str, int]]:
        """Return this node's counts of the newest windows."""
        oldest = self.window_at(wall_ms) - windows
        return {number: dict(counts) for number, counts in self.own.items() if number > oldest}

    def apply_node_report(self, node: str, counts: WindowCounts) -> None:
        """Take in what an incarnation counted; later counts of a window replace earlier ones."""
        known = self.heard.setdefault(node, {})
        for number, told in counts.items():
            known[number] = dict(told)
        newest = max(known, default=0)
        for old in [number for number in known if number < newest - RETAINED_WINDOWS]:
            del known[old]
        if not known:
            del self.heard[node]

    def apply_centre_summary(self, group: str, counts: WindowCounts) -> None:
        """Take in what one of a group of nodes counted of all of them.

        Each may have missed some of the others' counts, so that the largest sum counts.
        """
        known = self.heard.get(group, {})
        largest = {
            number: {
                name: max(told.get(name, 0), known.get(number, {}).get(name, 0))
                for name in told.keys() | known.get(number, {}).keys()
            }
            for number, told in counts.items()
        }
        self.apply_node_report(group, largest)

    def total(
        self, window: int, counts_in: Callable[[str], bool] = lambda name: True
    ) -> dict[str, int]:
        """Return the counts of a window over all nodes.

        Args:
          counts_in: whether what another incarnation or group counted is part of it.
        """
        total: collections.Counter[str] = collections.Counter(self.own.get(window, {}))
        for name, counts in self.heard.items():
            if counts_in(name):
                total.update(counts.get(window, {}))
        return dict(sorted(total.items()))
