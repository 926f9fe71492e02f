"""Frames on a stream between nodes: four bytes of length, then the body."""

import asyncio
import struct

from plumarch.core import errors

HEAD = struct.Struct(">I")


def pack(body: bytes) -> bytes:
    """Frame a body."""
    return HEAD.pack(len(body)) + body


async def read(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Read a frame's body.

    Args:
      limit: maximum length in bytes.
    Raises:
      PeerProtocolError: the frame exceeds the limit.
      IncompleteReadError: the connection ended.
    """
    length = HEAD.unpack(await reader.readexactly(HEAD.size))[0]
    if length > limit:
        raise errors.PeerProtocolError(f"A frame of {length} bytes is over the limit.")
    return await reader.readexactly(length)
