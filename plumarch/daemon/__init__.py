"""The daemon: sockets around one node."""
