"""Shared data types, clocks, hashing and errors; imports no other package of plumarch."""
