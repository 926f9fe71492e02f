"""Messages and frames of tunnels, by which a node reaches an endpoint through another node.

The tunnel's client sends a frame with a TunnelRequest and gets one with a TunnelAnswer. Then its
bytes go to the endpoint as they are; the endpoint's come in frames, so that the end of its answer
is told from the end of the other node.
"""

import enum
from collections.abc import Iterator

import msgspec

from plumarch.core import errors
from plumarch.peers import frames

REQUEST_LIMIT = 4_096
"""Limit of a TunnelRequest or a TunnelAnswer in bytes."""

DATA_LIMIT = 65_536
"""Limit of the data in a frame in bytes."""

END = frames.HEAD.pack(0)
"""The endpoint closed its connection in order."""

RESET = frames.HEAD.pack(2**32 - 1)
"""The endpoint's connection was reset."""


class Ending(enum.Enum):
    """How the endpoint's connection ended; a frame with such bytes as data is none."""

    CLOSED = "closed"
    RESET = "reset"


ENDINGS = {END: Ending.CLOSED, RESET: Ending.RESET}


class Outcome(enum.Enum):
    """Outcome of a connect through another node.

    DECLINED: it did not try, or it is cut off from the endpoint itself.
    """

    CONNECTED = "connected"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    DECLINED = "declined"


OUTCOMES = {one.value: one for one in Outcome}


class TunnelRequest(msgspec.Struct, array_like=True, frozen=True, tag="tunnel"):
    """Requests a connection to an endpoint.

    Attributes:
      node: the requesting node.
      endpoint: the incarnation.
      address: of the endpoint, IP:port; the other node's registry must agree.
      timeout_ms: for the connect.
    """

    node: str
    endpoint: str
    address: str
    timeout_ms: int


class TunnelAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answers a TunnelRequest.

    Attributes:
      outcome: value of an Outcome; an unknown one counts as declined.
    """

    outcome: str


encoder = msgspec.msgpack.Encoder()
request_decoder = msgspec.msgpack.Decoder(TunnelRequest)
answer_decoder = msgspec.msgpack.Decoder(TunnelAnswer)


def pack(message: TunnelRequest | TunnelAnswer) -> bytes:
    """Return a message's frame."""
    return frames.pack(encoder.encode(message))


class FrameReader:
    """Splits received bytes into frames.

    Attributes:
      received: bytes of an incomplete frame.
    """

    def __init__(self) -> None:
        self.received = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.received += data

    def frames(self, limit: int) -> Iterator[bytes | Ending]:
        """Yield the complete frames: a frame's body, or how the connection ended.

        Raises:
          PeerProtocolError: a body exceeds the limit.
        """
        while len(self.received) >= frames.HEAD.size:
            head = bytes(self.received[: frames.HEAD.size])
            ending = ENDINGS.get(head)
            length = 0 if ending is not None else frames.HEAD.unpack(head)[0]
            if length > limit:
                raise errors.PeerProtocolError(f"A frame of {length} bytes is over the limit.")
            end = frames.HEAD.size + length
            if len(self.received) < end:
                return
            body = bytes(self.received[frames.HEAD.size : end])
            del self.received[:end]
            yield body if ending is None else ending
