"""Selects the figures that a heartbeat reports: those that changed recently.

Datagrams are lost now and then, so each change is sent several times.
"""

import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar

SEND_COUNT = 4
"""Number of heartbeats that report a change."""


Figure = TypeVar("Figure")
"""A value that is sent again when it differs from the last one sent."""


@dataclasses.dataclass(slots=True)
class RecentChanges(Generic[Figure]):
    """The figures as last sent, and how often each is still to be sent."""

    known: dict[str, Figure] = dataclasses.field(default_factory=dict)
    left: dict[str, int] = dataclasses.field(default_factory=dict)

    def select(self, figures: Mapping[str, Figure]) -> set[str]:
        """Return the names of the figures that the next heartbeat reports.

        Args:
          figures: all current figures, by name.
        """
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
