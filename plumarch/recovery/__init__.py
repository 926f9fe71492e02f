"""At-most-once execution by key, copies of accepted requests, and failover."""
