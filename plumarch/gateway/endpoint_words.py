"""What the head of an endpoint's answer says of the endpoint, besides the answer to the request.

Header values come from other programs: one that can't be read says nothing.
"""

import dataclasses
import math

import h11

from plumarch.gateway import dialect

RETRY_AFTER = b"retry-after"

NOT_LEAVING = frozenset({"", "0"})
"""Values of the header of leaving endpoints that say nothing."""

TOLD_CHARACTERS = 40
"""Characters of a header's value that are logged; a sound one is shorter."""


@dataclasses.dataclass(frozen=True, slots=True)
class Words:
    """What an answer says of its endpoint.

    Attributes:
      leaving: whether it is about to end.
      rest_ms: how long it wants nothing more from this node; 0 if it doesn't say.
      retry_after: the same as it said it, "" if it said nothing.
    """

    leaving: bool = False
    rest_ms: float = 0.0
    retry_after: str = ""


NONE = Words()
"""What most answers say."""


def of(head: h11.Response, names: dialect.Dialect) -> Words:
    """Return what an answer says of its endpoint."""
    leaving = dialect.header_value(head.headers, names.leaving) not in NOT_LEAVING
    retry_after = dialect.header_value(head.headers, RETRY_AFTER)
    if not leaving and not retry_after:
        return NONE
    return Words(leaving, _milliseconds(retry_after), retry_after[:TOLD_CHARACTERS])


def _milliseconds(seconds: str) -> float:
    """Return a number of seconds in ms, or 0 for what is no time to come."""
    try:
        found = float(seconds) * 1000.0
    except ValueError:
        return 0.0
    return found if math.isfinite(found) and found > 0 else 0.0
