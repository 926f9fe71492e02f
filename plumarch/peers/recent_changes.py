"""Selects recently changed figures for heartbeats.

Datagrams may be lost, so each change is sent several times.
"""

import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar

SEND_COUNT = 4
"""Heartbeats that report a change."""


Figure = TypeVar("Figure")
"""A value sent again when it differs from the last one sent."""


@dataclasses.dataclass(slots=True)
class RecentChanges(Generic[Figure]):
    """Figures as last sent, and how often each is still to be sent."""

    known: dict[str, Figure] = dataclasses.field(default_factory=dict)
    left: dict[str, int] = dataclasses.field(default_factory=dict)

    def select(self, figures: Mapping[str, Figure]) -> set[str]:
        """Return the names of figures for the next heartbeat, of all current ones."""
        for name in [name for name in self.known if name not in figures]:
            del self.known[name]
            self.left.pop(name, None)
        for name, figure in figures.items():
            if self.known.get(name) != figure:
                self.known[name] = figure
                self.left[name] = SEND_COUNT
        selected = set(self.left)
        self.left = {name: times - 1 for name, times in self.left.items() if times > 1}
        return selected
