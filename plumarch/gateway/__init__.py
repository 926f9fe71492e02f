"""Requests of callers relayed to endpoints, with all nodes of a fleet acting together."""
