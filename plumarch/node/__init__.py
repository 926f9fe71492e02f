"""The decision logic of an entry node."""
