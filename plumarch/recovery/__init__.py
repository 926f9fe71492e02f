"""Keys that run at most once, copies of accepted requests, and their takeover."""
