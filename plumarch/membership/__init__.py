"""Which entry nodes live."""
