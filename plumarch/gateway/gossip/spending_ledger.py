"""The count of a data centre's admissions, continued by successive coordinators.

Members receive it, since a successor that began at zero would let the fleet exceed the quota.
"""

import dataclasses

from plumarch.membership import tiers
from plumarch.peers import gossip


@dataclasses.dataclass(slots=True)
class FollowedLedger:
    """The ledger last received from the followed coordinators.

    Attributes:
      begun_by: the coordinator that began it; None if none was received.
      spent: units that the nodes of the data centre admitted, by workspace.
      counted: own spending in it.
    """

    begun_by: tiers.Seniority | None = None
    spent: dict[str, float] = dataclasses.field(default_factory=dict)
    counted: dict[str, float] = dataclasses.field(default_factory=dict)

    def apply_update(self, update: gossip.FleetUpdate) -> None:
        """Apply the counts in a fleet update."""
        if not update.ledger:
            return
        begun_by = tiers.Seniority(update.ledger[0].incarnation, update.ledger[0].name)
        if begun_by != self.begun_by:
            self.begun_by = begun_by
            self.spent.clear()
        for one in update.levels:
            self.spent[one.workspace] = one.spent
