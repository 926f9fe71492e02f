"""What may pass to a caller as an endpoint's answer, on every route and interface.

An endpoint in trouble may send bytes that are no answer, and send them without end.
"""

FINAL_STATUSES = range(200, 600)
"""Status codes of final answers (RFC 9110, section 15)."""

MAX_INTERIM_BYTES = 65_536
"""Limit of the heads of interim (1xx) answers before a final one."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Limit of the body of an answer that is relayed as a whole."""

MAX_EVENT_BYTES = 1_048_576
"""Limit of an event of a stream."""
