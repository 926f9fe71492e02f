"""One entry node: its decisions, put together."""
