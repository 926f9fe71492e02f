"""Which build of the product this is: nodes tell it to each other, and to operators."""

NAME = "2026.12.03.2"
"""Changes with each build that goes into service; the samples of what that build tells
(peers/message_samples) have its commit or this for a name. It decides nothing: what another node
can read is seen from what it sends."""
