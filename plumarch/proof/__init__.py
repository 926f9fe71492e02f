"""Invariants checked by tests and the demo."""
