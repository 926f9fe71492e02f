"""Which of many figures a heartbeat tells: those that changed in one of the last few of them.

Datagrams are lost now and then, so that a change is told several times.
"""

import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar

SEND_COUNT = 4
"""How many heartbeats tell a change."""


Figure = TypeVar("Figure")
"""What may change; told again while it is not equal to what was told last."""


@dataclasses.dataclass(slots=True)
class RecentChanges(Generic[Figure]):
    """The figures as they were told last, and how often each is still to be told."""

    known: dict[str, Figure] = dataclasses.field(default_factory=dict)
    left: dict[str, int] = dataclasses.field(default_factory=dict)

    def select(self, figures: Mapping[str, Figure]) -> set[str]:
        """Return the names of the figures that the next heartbeat tells.

        Args:
          figures: all figures as they are now, by name.
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
