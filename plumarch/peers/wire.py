"""Messages between nodes over TCP: authenticated, length-limited MessagePack frames.

Both ends prove that they know the shared key. A keyed digest over each frame's number and content
prevents others from adding, changing or replaying one. Frames may be lost with a connection.
"""

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import hmac
import os
from collections.abc import Callable

import msgspec

from plumarch.core import addresses, context, errors, messages
from plumarch.node import node
from plumarch.peers import frames

VERSION = 1
FRAME_LIMIT = 8 * 1024 * 1024
"""Maximum bytes of a frame."""

QUEUE_LIMIT = 20_000
"""Maximum messages queued for a peer; further ones are dropped."""

HANDSHAKE_S = 5.0
RECONNECT_S = 0.25
DIGEST_BYTES = 16
NONCE_BYTES = 16

Receive = Callable[[str, messages.AnyMessage], None]


class Hello(msgspec.Struct, frozen=True):
    """Each side's first frame: identity and nonce."""

    version: int
    identity: str
    nonce: bytes


class Proof(msgspec.Struct, frozen=True):
    """Each side's second frame: a digest that proves the key."""

    digest: bytes


class Session:
    """A connection after the handshake."""

    def __init__(self, key: bytes, identity: str) -> None:
        self.key = key
        self.identity = identity
        self.sent = 0
        self.received = 0

    def _digest(self, direction: bytes, number: int, body: bytes) -> bytes:
        text = direction + number.to_bytes(8, "big") + body
        return hmac.digest(self.key, text, hashlib.sha256)[:DIGEST_BYTES]

    def seal(self, direction: bytes, body: bytes) -> bytes:
        """Return an authenticated frame."""
        digest = self._digest(direction, self.sent, body)
        self.sent += 1
        return frames.pack(digest + body)

    def open(self, direction: bytes, frame: bytes) -> bytes:
        """Verify a frame and return its body.

        Raises:
          PeerProtocolError: its digest is wrong.
        """
        digest = frame[:DIGEST_BYTES]
        body = frame[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(direction, self.received, body)):
            raise errors.PeerProtocolError("A frame is not authentic. Check the key in [peers].")
        self.received += 1
        return body


async def handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: bytes,
    identity: str,
    role: bytes,
) -> Session:
    """Authenticate both ends by the shared key.

    Args:
      identity: this node's.
      role: b"client" for the end that connected, b"server" for the other.
    Returns:
      The session; its identity is the other end's.
    Raises:
      PeerProtocolError: the other end has another protocol version or key.
    """
    mine = Hello(VERSION, identity, os.urandom(NONCE_BYTES))
    _write_plain(writer, msgspec.msgpack.encode(mine))
    theirs = msgspec.msgpack.decode(await frames.read(reader, FRAME_LIMIT), type=Hello)
    if theirs.version != VERSION:
        raise errors.PeerProtocolError(
            f"{theirs.identity} speaks version {theirs.version}, not {VERSION}. Upgrade it."
        )
    other_role = b"server" if role == b"client" else b"client"
    _write_plain(writer, msgspec.msgpack.encode(Proof(_proof(secret, role, mine, theirs))))
    proof = msgspec.msgpack.decode(await frames.read(reader, FRAME_LIMIT), type=Proof)
    if not hmac.compare_digest(proof.digest, _proof(secret, other_role, theirs, mine)):
        raise errors.PeerProtocolError("A peer holds another key. Check the key in [peers].")
    nonces = sorted((mine.nonce, theirs.nonce))
    key = hmac.digest(secret, b"session" + nonces[0] + nonces[1], hashlib.sha256)
    return Session(key, theirs.identity)


def _proof(secret: bytes, role: bytes, prover: Hello, checker: Hello) -> bytes:
    text = role + checker.nonce + prover.nonce + prover.identity.encode()
    return hmac.digest(secret, text, hashlib.sha256)


def _write_plain(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(frames.pack(body))


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A peer's queue and the task that sends it."""

    address: str
    waiting: collections.deque[tuple[str, bytes]]
    wake: asyncio.Event
    task: asyncio.Task[None] | None = None


class WireTransport:
    """Exchanges messages with peers by name.

    Args:
      identity: this node's.
      secret: shared by all nodes.
      receive: called with a message's sender and the message.
      dropped: called with the reason of a dropped message or connection.
    """

    def __init__(
        self,
        identity: str,
        secret: bytes,
        receive: Receive,
        dropped: Callable[[str], None],
    ) -> None:
        self.identity = identity
        self.secret = secret
        self.receive = receive
        self.dropped = dropped
        self.outgoing: dict[str, Outgoing] = {}
        self.server: asyncio.Server | None = None
        self.incoming: set[asyncio.Task[None]] = set()
        self.sent_bytes = 0

    async def listen(self, host: str, port: int) -> int:
        """Start to receive; return the port in use."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return int(self.server.sockets[0].getsockname()[1])

    def add_peer(self, name: str, address: str) -> None:
        """Set a peer's address."""
        known = self.outgoing.get(name)
        if known is not None and known.address == address:
            return
        if known is not None and known.task is not None:
            known.task.cancel()
        out = Outgoing(address, collections.deque(), asyncio.Event())
        out.task = asyncio.get_running_loop().create_task(self._connect(name, out))
        self.outgoing[name] = out

    def send(self, identity: str, message: messages.AnyMessage) -> None:
        """Queue a message for a node ("name#incarnation", or "name" for any incarnation)."""
        out = self.outgoing.get(context.name_of(identity))
        if out is None:
            self.dropped("unknown peer")
            return
        if len(out.waiting) >= QUEUE_LIMIT:
            self.dropped("queue full")
            return
        out.waiting.append((identity, node.encode(message)))
        out.wake.set()

    async def _connect(self, name: str, out: Outgoing) -> None:
        host, port = addresses.split(out.address)
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                out.waiting.clear()
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._send_all(reader, writer, name, out)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            except (errors.PeerProtocolError, msgspec.MsgspecError) as error:
                self.dropped(str(error))
            finally:
                writer.close()
            await asyncio.sleep(RECONNECT_S)

    async def _send_all(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
        out: Outgoing,
    ) -> None:
        async with asyncio.timeout(HANDSHAKE_S):
            session = await handshake(reader, writer, self.secret, self.identity, b"client")
        if context.name_of(session.identity) != name:
            raise errors.PeerProtocolError(f"{out.address} is {session.identity}, not {name}.")
        closed = asyncio.get_running_loop().create_task(reader.read(1))
        closed.add_done_callback(lambda _: out.wake.set())
        try:
            while not closed.done():
                while out.waiting:
                    identity, body = out.waiting.popleft()
                    if "#" in identity and identity != session.identity:
                        self.dropped("older incarnation")
                        continue
                    frame = session.seal(b"c", body)
                    self.sent_bytes += len(frame)
                    writer.write(frame)
                await writer.drain()
                await out.wake.wait()
                out.wake.clear()
        finally:
            closed.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.incoming.add(task)
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                session = await handshake(reader, writer, self.secret, self.identity, b"server")
            while True:
                body = session.open(b"c", await frames.read(reader, FRAME_LIMIT))
                self.receive(session.identity, node.decode(body))
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        except (errors.PeerProtocolError, msgspec.MsgspecError) as error:
            self.dropped(str(error))
        except asyncio.CancelledError:
            pass
        finally:
            self.incoming.discard(task)
            writer.close()

    async def close(self) -> None:
        """Stop receiving and sending."""
        if self.server is not None:
            self.server.close()
        tasks = [out.task for out in self.outgoing.values() if out.task is not None]
        tasks += self.incoming
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
