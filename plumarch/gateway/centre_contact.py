"""Contact with the other data centres, for the status page."""

import dataclasses


@dataclasses.dataclass(slots=True)
class CentreContact:
    """Reachability of the other data centres; all 0 on a member, which knows none.

    Attributes:
      known: number of known data centres.
      unreachable: number of those that this node does not reach.
      oldest_ms: age of the least recent update of one of them, in ms.
    """

    known: int = 0
    unreachable: int = 0
    oldest_ms: int = 0
