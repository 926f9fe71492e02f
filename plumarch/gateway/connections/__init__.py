"""Connections: requests to endpoints, write buffers, keep-alive probes, and open runs."""
