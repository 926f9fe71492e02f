"""Relays callers' requests to endpoints and coordinates the nodes of a fleet."""
