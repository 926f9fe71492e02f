"""Paired rounds: the same days of the users' bench on two trees, and what a change was worth."""
