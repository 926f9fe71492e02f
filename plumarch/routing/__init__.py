"""Endpoint selection for requests."""
