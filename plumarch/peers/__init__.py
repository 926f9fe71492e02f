"""The transport between entry nodes."""
