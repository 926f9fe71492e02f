"""Benchmarks. Bounds are counts or ratios within one run, never times."""
