"""Connections to callers and endpoints: writing, asking, probing, and the runs on them."""
