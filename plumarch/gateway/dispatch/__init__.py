"""Requests sent to endpoints: attempts, runs, streams, and what an outcome says of an endpoint."""
