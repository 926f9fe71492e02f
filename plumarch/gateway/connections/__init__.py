"""Connections to endpoints, write buffers and keep-alive probes."""
