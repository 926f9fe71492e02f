"""Addresses of the form IP:port."""

import ipaddress

LAST_PORT = 65_535

BACKLOG = 1024
"""Limit of a listening socket's accept queue.

A full queue drops SYN packets, which are resent only after a second or more: with a queue of 100,
two thirds of 300 nodes that connect to one at once wait that long.
"""


def split(address: str) -> tuple[str, int]:
    """Split an address into host and port, without the brackets of IPv6.

    Raises:
      ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_ip_port(address: str) -> bool:
    """Return whether this is a literal IP with a valid port."""
    try:
        host, port = split(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= LAST_PORT
