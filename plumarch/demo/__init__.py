"""Two deployments in one process: load, a reclaim in the middle, and what came of it."""
