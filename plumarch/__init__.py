"""A serving system for model engines and plain services on reclaimable VMs."""
