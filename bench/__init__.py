"""Benchmarks. Tests compare counts and ratios of one run, never times."""
