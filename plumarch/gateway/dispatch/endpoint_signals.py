"""Reads the headers in which an endpoint reports its own state, ignoring invalid values."""

import dataclasses

import h11

from plumarch.core import request_rate, retry_after
from plumarch.gateway import dialect

NOT_DRAINING = frozenset({"", "0"})
"""Values of the drain header that mean no."""

MAX_LOGGED_CHARACTERS = 40
"""Limit of the logged characters of a header's value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """State that an endpoint reports in an answer.

    Attributes:
      backoff_ms: the backoff requested from this node; 0 if none.
      retry_after: its Retry-After header, "" if absent.
      rate_limit: its request rate header, "" if absent.
      rejection_limit: its rejection limit header, "" if absent.
    """

    draining: bool = False
    backoff_ms: float = 0.0
    retry_after: str = ""
    rate_limit: str = ""
    rejection_limit: str = ""

    def concerns_requests(self) -> bool:
        """Return whether there is more than a valid rate."""
        if self.draining or self.retry_after:
            return True
        return bool(self.rate_limit) and request_rate.per_second(self.rate_limit) is None


NONE = Signals()
"""Signals of an answer without these headers."""


def of(head: h11.Response, names: dialect.Dialect) -> Signals:
    """Return the signals in an answer's head."""
    draining = dialect.header_value(head.headers, names.leaving) not in NOT_DRAINING
    seconds = dialect.header_value(head.headers, retry_after.HEADER.encode())
    rate_limit = dialect.header_value(head.headers, names.rate_limit)
    rejection_limit = dialect.header_value(head.headers, names.rejection_limit)
    if not draining and not seconds and not rate_limit and not rejection_limit:
        return NONE
    return Signals(
        draining,
        retry_after.milliseconds(seconds),
        seconds[:MAX_LOGGED_CHARACTERS],
        rate_limit[:MAX_LOGGED_CHARACTERS],
        rejection_limit[:MAX_LOGGED_CHARACTERS],
    )
