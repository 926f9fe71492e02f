"""Duties that one node holds at a time: usage, endpoints ordered, roll-outs."""
