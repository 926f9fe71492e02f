"""Where a request runs."""
