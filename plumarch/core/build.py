"""Name of this build, which nodes announce to each other and to operators."""

NAME = "2026.12.03.2"
"""Changes with each released build, whose message samples (peers/message_samples) are named after
this or its commit. Informational only: compatibility is derived from the messages received."""
