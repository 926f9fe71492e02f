"""Transport and messages between nodes."""
