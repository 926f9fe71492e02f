"""Name of this build."""

NAME = "2026.12.07"
"""Names the message samples (peers/message_samples); informational, not used for compatibility."""
