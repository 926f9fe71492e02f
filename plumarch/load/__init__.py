"""Load generator: callers that retry and reconnect, and a report of their results."""
