"""What makes two requests the same one, whoever takes them in and under whatever id they come.

A caller that gets no answer sends its request again, to any node and under a new id. Only what it
asks for stays: who asks, for what path, with what body.
"""

from plumarch.core import hashing
from plumarch.gateway.callers import caller_requests


def fingerprint(workspace: str, request: caller_requests.CallerRequest) -> str:
    """Return what all tries of a request share, on each node: a 64-bit hash in hex.

    The host is no part of it: it may be written in several ways.

    Args:
      workspace: whose request it is, or "" for a public route.
    """
    hashed = hashing.digest(workspace, request.method, request.target, request.body)
    return f"{hashed:016x}"
