"""The platform's store: who follows it, and what this node keeps there."""
