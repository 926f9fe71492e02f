"""Choosing endpoints, sending requests there, and relaying their answers."""
