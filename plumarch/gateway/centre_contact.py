"""How well this node hears the other data centres, as operators are shown."""

import dataclasses


@dataclasses.dataclass(slots=True)
class CentreContact:
    """Counts of the other data centres; a member, which is told of none, keeps them at 0.

    Attributes:
      known: how many this node knows of.
      unheard: how many of them it does not hear.
      oldest_ms: the age of the oldest news of one of them.
    """

    known: int = 0
    unreachable: int = 0
    oldest_ms: int = 0
