"""Duties that one node holds at a time."""
