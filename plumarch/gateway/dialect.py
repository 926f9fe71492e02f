"""The names that a deployment gives to the headers of callers and endpoints.

The product's own names are the defaults; an adapter gives a deployment's names.
"""

import dataclasses

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
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names, lower case.

    Attributes:
      deadline_ms: the time that the caller waits, in milliseconds.
      instance: the incarnation that a request is meant for.
      not_run: set by an endpoint on an answer to a request that it did not run.
      signature: proves that an answer is the endpoint's.
      token_counts: prompt tokens and most output tokens, by a comma.
      prompt_parts: the prompt's parts as ID:TOKENS, by commas.
      reserved: further headers that a caller may not set.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    workspace: bytes = b"x-workspace"
    instance: bytes = b"x-instance"
    not_run: bytes = b"x-not-run"
    signature: bytes = b"x-signature"
    token_counts: bytes = b"x-token-counts"
    prompt_parts: bytes = b"x-prompt-parts"
    last_event_id: bytes = b"last-event-id"
    urgency: bytes = b"x-urgency"
    key_scheme: str = "Bearer"
    reserved: frozenset[bytes] = frozenset()
