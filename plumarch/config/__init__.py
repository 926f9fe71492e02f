"""Configuration: templates, workspaces, publishing and the state on a node."""
