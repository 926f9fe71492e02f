"""Membership of the fleet: which nodes, data centres and endpoints exist."""
