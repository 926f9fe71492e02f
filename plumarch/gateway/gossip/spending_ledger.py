"""What the nodes of a data centre admitted, counted on by one coordinator after the other.

A coordinator that begins to count at nothing would lose all that was admitted since the last one
told its sum, on all nodes and for good: the fleet then admits that much more than it may. So
coordinators tell their members how far they have counted, in which ledger, and whoever follows on
one that died counts on from there.
"""

import dataclasses

from plumarch.membership import tiers
from plumarch.peers import gossip


@dataclasses.dataclass(slots=True)
class FollowedLedger:
    """The ledger of the coordinators that a node follows, as they told it last.

    Attributes:
      begun_by: the coordinator that began it; None if none was told.
      spent: units that the nodes of the data centre admitted, by workspace.
      counted: the part of this node's own spending that is in it.
    """

    begun_by: tiers.Seniority | None = None
    spent: dict[str, float] = dataclasses.field(default_factory=dict)
    counted: dict[str, float] = dataclasses.field(default_factory=dict)

    def apply_update(self, news: gossip.FleetUpdate) -> None:
        """Take in how far a coordinator has counted."""
        if not news.ledger:
            return
        begun_by = tiers.Seniority(news.ledger[0].incarnation, news.ledger[0].name)
        if begun_by != self.begun_by:
            self.begun_by = begun_by
            self.spent.clear()
        for one in news.levels:
            self.spent[one.workspace] = one.spent
