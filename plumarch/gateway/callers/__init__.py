"""Callers' connections and requests, and their admission."""
