"""Exchange of state between nodes: heartbeats, centre summaries and fleet updates."""
