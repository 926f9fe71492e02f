"""Errors that callers receive, as application/problem+json with a remedy."""

import math

import msgspec
from litestar import Response

from plumarch.core import data, events

PROBLEM_TYPE = "application/problem+json"
OVERLOAD_REASONS = frozenset(
    {data.Reason.QUEUE_FULL, data.Reason.RUN_TABLE_FULL, data.Reason.COPY_LIMIT}
)

REMEDY = {
    data.Outcome.NOT_RUN: "It did not run and will not. Send it again under a new key.",
    data.Outcome.UNKNOWN: "It may have run. Ask again by the same key; it is never run twice.",
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an error."""

    title: str
    status: int
    detail: str
    remedy: str
    not_run: bool = False
    outcome: str = ""
    reason: str = ""
    key: str = ""
    retry_after_ms: int = 0


class CallerFault(Exception):
    """An invalid request; answered by a 4xx status."""

    def __init__(self, status: int, title: str, detail: str, remedy: str) -> None:
        super().__init__(detail)
        self.problem = Problem(title, status, detail, remedy)


def of_end(end: events.TellEnd, key: str) -> Problem:
    """Return the problem for a final answer other than done."""
    if end.reason == data.Reason.KEY_CONFLICT:
        detail = "The key was used before for a request with another content."
        return Problem("Key conflict", 422, detail, "Use a new key for a new request.", key=key)
    if end.reason == data.Reason.UNKNOWN_KEY:
        detail = "No request is known under this key."
        return Problem("Unknown key", 404, detail, "Check the key and the workspace.", key=key)
    not_run = end.outcome is data.Outcome.NOT_RUN
    status = 504
    if not_run:
        status = 429 if end.reason in OVERLOAD_REASONS else 503
    title = "Not run" if not_run else "Outcome unknown"
    return Problem(
        title,
        status,
        f"The request was given up: {end.reason}.",
        REMEDY[end.outcome],
        not_run,
        end.outcome,
        end.reason,
        key,
        end.retry_after_ms,
    )


def response(problem: Problem) -> Response[bytes]:
    """Return the HTTP answer for a problem."""
    headers = {}
    if problem.retry_after_ms:
        headers["Retry-After"] = str(math.ceil(problem.retry_after_ms / 1000))
    body = msgspec.json.encode(problem)
    return Response(body, status_code=problem.status, headers=headers, media_type=PROBLEM_TYPE)
