"""Contact with the other data centres."""

import dataclasses


@dataclasses.dataclass(slots=True)
class CentreContact:
    """Reachability of the other data centres; all 0 on a member, which knows none.

    Attributes:
      unreachable: number that this node does not reach.
      oldest_ms: age of the least recent update, in ms.
    """

    known: int = 0
    unreachable: int = 0
    oldest_ms: int = 0
