"""What the head of an endpoint's answer says of the endpoint, besides the answer to the request.

Header values come from other programs: one that can't be read says nothing.
"""

import dataclasses

import h11

from plumarch.core import request_rate, retry_after
from plumarch.gateway import dialect

NOT_LEAVING = frozenset({"", "0"})
"""Values of the header of leaving endpoints that say nothing."""

LOGGED_CHARACTERS = 40
"""Characters of a header's value that are logged; a sound one is shorter."""


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """What an answer says of its endpoint.

    Attributes:
      leaving: whether it is about to end.
      rest_ms: how long it wants nothing more from this node; 0 if it doesn't say.
      retry_after: the same as it said it, "" if it said nothing.
      rate_limit: the request rate that it announces, as written; "" if it announces none.
    """

    leaving: bool = False
    rest_ms: float = 0.0
    retry_after: str = ""
    rate_limit: str = ""

    def concerns_requests(self) -> bool:
        """Return whether there is more than a rate, or a rate that can't be read."""
        if self.leaving or self.retry_after:
            return True
        return bool(self.rate_limit) and request_rate.per_second(self.rate_limit) is None


NONE = Signals()
"""What most answers say."""


def of(head: h11.Response, names: dialect.Dialect) -> Signals:
    """Return what an answer says of its endpoint."""
    leaving = dialect.header_value(head.headers, names.leaving) not in NOT_LEAVING
    asked = dialect.header_value(head.headers, retry_after.HEADER.encode())
    rate_limit = dialect.header_value(head.headers, names.rate_limit)
    if not leaving and not asked and not rate_limit:
        return NONE
    return Signals(
        leaving,
        retry_after.milliseconds(asked),
        asked[:LOGGED_CHARACTERS],
        rate_limit[:LOGGED_CHARACTERS],
    )
