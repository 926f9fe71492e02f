"""Addresses of the form IP:port."""

import ipaddress

LAST_PORT = 65_535

BACKLOG = 1024
"""Connections that may wait at a listening socket. A queue that is full drops the opening packet,
which is sent again after a second or three: of 300 nodes that fetched endpoints from one at the
same moment 101 got through at once by asyncio's own 100."""


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address; brackets around an IPv6 host are dropped.

    Raises:
      ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_ip_port(address: str) -> bool:
    """Return whether an address is that of a process on some machine."""
    try:
        host, port = split(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= LAST_PORT
