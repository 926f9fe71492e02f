"""Fingerprints of requests, independent of node and request id."""

from plumarch.core import hashing
from plumarch.gateway.callers import caller_requests


def fingerprint(workspace: str, request: caller_requests.CallerRequest) -> str:
    """Return a 64-bit hash in hex that is the same for all tries of a request on all nodes.

    The host is left out: it may be written in several ways.

    Args:
      workspace: name of the request's workspace, or "" for a public route.
    """
    hashed = hashing.digest(workspace, request.method, request.target, request.body)
    return f"{hashed:016x}"
