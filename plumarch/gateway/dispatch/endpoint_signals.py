"""What the head of an endpoint's answer says of the endpoint, besides the answer to the request.

Header values come from other programs: one that can't be read says nothing.
"""

import dataclasses

import h11

from plumarch.core import request_rate, retry_after
from plumarch.gateway import dialect

NOT_DRAINING = frozenset({"", "0"})
"""Values of the header of leaving endpoints that say nothing."""

MAX_LOGGED_CHARACTERS = 40
"""Characters of a header's value that are logged; a sound one is shorter."""


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """What an answer says of its endpoint.

    Attributes:
      draining: whether it is about to end.
      backoff_ms: how long it wants nothing more from this node; 0 if it doesn't say.
      retry_after: the same as it said it, "" if it said nothing.
      rate_limit: the request rate that it announces, as written; "" if it announces none.
    """

    draining: bool = False
    backoff_ms: float = 0.0
    retry_after: str = ""
    rate_limit: str = ""

    def concerns_requests(self) -> bool:
        """Return whether there is more than a rate, or a rate that can't be read."""
        if self.draining or self.retry_after:
            return True
        return bool(self.rate_limit) and request_rate.per_second(self.rate_limit) is None


NONE = Signals()
"""What most answers say."""


def of(head: h11.Response, names: dialect.Dialect) -> Signals:
    """Return what an answer says of its endpoint."""
    draining = dialect.header_value(head.headers, names.leaving) not in NOT_DRAINING
    seconds = dialect.header_value(head.headers, retry_after.HEADER.encode())
    rate_limit = dialect.header_value(head.headers, names.rate_limit)
    if not draining and not seconds and not rate_limit:
        return NONE
    return Signals(
        draining,
        retry_after.milliseconds(seconds),
        seconds[:MAX_LOGGED_CHARACTERS],
        rate_limit[:MAX_LOGGED_CHARACTERS],
    )
