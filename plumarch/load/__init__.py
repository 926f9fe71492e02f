"""A load tool: callers that behave as callers should, and what they found."""
