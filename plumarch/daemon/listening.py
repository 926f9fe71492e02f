"""Listening sockets.

Imports little, since a gateway opens its callers' socket before it imports all else.
"""

import configparser
import socket

from plumarch.core import addresses, errors


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Raises:
      SettingsError: the address can't be bound.
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
    sock.listen(addresses.BACKLOG)
    return sock


def bind_first(path: str, section: str, key: str) -> socket.socket | None:
    """Open the listening socket that a settings file names, before the settings are validated.

    Connections then wait in the kernel's queue while the process imports its modules.

    Returns:
      The socket, or None if no address can be bound; validation and the second attempt to
      listen report the cause.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
        return bind(parser.get(section, key))
    except (configparser.Error, errors.SettingsError, ValueError, OSError):
        return None
