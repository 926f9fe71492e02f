"""Invariants that tests and the demo check."""
