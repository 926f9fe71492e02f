"""In-process and HTTP stand-ins for the platform and endpoints, for tests and the demo."""
