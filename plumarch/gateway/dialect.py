"""Default header names, which a deployment's adapter may replace."""

import dataclasses
import functools
from collections.abc import Iterable

from plumarch.core import request_rate

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names, in lower case.

    Attributes:
      deadline_ms: how long the caller waits, in ms.
      instance: the incarnation that a request is meant for.
      not_run: set by an endpoint that did not run the request.
      leaving: set by an endpoint before it shuts down, unless "0".
      rate_limit: set by an endpoint while it limits all nodes' request rate.
      rejection_limit: set by an endpoint while it crashes if it has to reject more requests in a
        second.
      signature: proves that an answer is the endpoint's.
      token_counts: prompt tokens and maximum of output tokens, separated by a comma.
      prompt_parts: the prompt's segments as ID:TOKENS, separated by commas.
      resumes: of a resumption, the request id of the attempt that brought its first event.
      reserved: further headers that a caller may not set.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    workspace: bytes = b"x-workspace"
    instance: bytes = b"x-instance"
    not_run: bytes = b"x-not-run"
    leaving: bytes = b"x-leaving"
    rate_limit: bytes = request_rate.HEADER.encode()
    rejection_limit: bytes = b"x-rejections-per-second"
    signature: bytes = b"x-signature"
    token_counts: bytes = b"x-token-counts"
    prompt_parts: bytes = b"x-prompt-parts"
    last_event_id: bytes = b"last-event-id"
    resumes: bytes = b"x-resumes"
    urgency: bytes = b"x-urgency"
    key_scheme: str = "Bearer"
    reserved: frozenset[bytes] = frozenset()


@functools.cache
def not_for_endpoints(names: Dialect) -> frozenset[bytes]:
    """Return the callers' headers that are not forwarded, or that only the gateway sets."""
    own = {names.workspace, names.instance, names.deadline_ms, names.urgency, names.last_event_id}
    return HOP_BY_HOP | names.reserved | own | {b"authorization"}


@functools.cache
def not_for_callers(names: Dialect) -> frozenset[bytes]:
    """Return the endpoints' headers that are not forwarded."""
    return HOP_BY_HOP | {names.not_run}


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the first header's value, or ""."""
    for key, value in headers:
        if key == name:
            return bytes(value).decode("latin-1")
    return ""
