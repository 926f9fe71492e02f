"""Listening sockets, for whatever serves on them."""

import socket

from plumarch.core import addresses, errors

BACKLOG = 1024


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Raises:
      SettingsError: the address can't be had.
    """
    host, port = addresses.split(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise errors.SettingsError(
            f"[listen] {address} can't be listened on: {error.strerror}."
            " Remedy: end the process that uses it, or choose another port."
        ) from error
    sock.listen(BACKLOG)
    return sock
