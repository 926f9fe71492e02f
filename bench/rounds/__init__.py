"""Paired comparison of two source trees on days of the users' bench."""
