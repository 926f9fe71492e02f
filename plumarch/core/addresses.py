"""Addresses of the form IP:port."""


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address; brackets around an IPv6 host are dropped.

    Raises:
      ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
