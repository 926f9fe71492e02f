"""Duties that one node holds at a time: usage reports, engine orders, roll-outs."""
