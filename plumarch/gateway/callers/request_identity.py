"""What identifies a request on all nodes, whatever its request id."""

from collections.abc import Sequence

from plumarch.core import hashing, traffic
from plumarch.gateway.callers import caller_requests
from plumarch.limits import quarantine

MAX_SEGMENTS = 64
"""Shared segments of a prompt that are told apart; callers choose their number."""


def fingerprint(workspace: str, request: caller_requests.CallerRequest) -> str:
    """Return a 64-bit hash in hex that is the same for all tries of a request on all nodes.

    The host is left out: it may be written in several ways.

    Args:
      workspace: name of the request's workspace, or "" for a public route.
    """
    hashed = hashing.digest(workspace, request.method, request.target, request.body)
    return f"{hashed:016x}"


def segment_fingerprint(workspace: str, segment: str) -> str:
    """Return what identifies a workspace's prompt segment on all nodes.

    It is the workspace's own, so that no caller gets the requests of another workspace refused by
    naming their segments.

    Args:
      workspace: its name, or "" for a public route.
      segment: a name from shared_segments.
    """
    return f"{quarantine.SEGMENT_PREFIX}{hashing.digest(workspace, segment):016x}"


def shared_segments(parts: Sequence[traffic.PromptPart]) -> tuple[str, ...]:
    """Return the names of the prompt segments that other requests may share, each once.

    The last segment is the request's or its session's own. Names are hexadecimal numbers, which
    callers may write in several ways.

    Args:
      parts: all segments of the prompt, in order.
    """
    names = (part.id.lower().lstrip("0") or "0" for part in parts[:-1])
    return tuple(dict.fromkeys(names))[:MAX_SEGMENTS]
