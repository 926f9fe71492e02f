"""Which VMs to hold."""
