"""Configurations and endpoints fetched from peers that know more, and handed to those that ask."""

import asyncio
import dataclasses
import zlib
from collections.abc import Iterable

import msgspec

from plumarch.config import routing_table
from plumarch.core import addresses, errors, traffic
from plumarch.gateway import fleet_state
from plumarch.peers import frames, gossip

FETCH_PAUSE_MS = 120
"""How long the store may take to tell by itself what a peer knows already."""

FETCH_TIMEOUT_MS = 1_500


MIN_COMPRESSED = 4_096
"""Bytes from which on a snapshot is compressed: one of 1,400 routes shrinks to a twentieth, and
some forty nodes fetch it from one coordinator over a link of 20 Mbit/s at the same moment."""

ASKED_AGAIN_MS = 750
"""How soon a peer that could not read an answer asks once more: by the next heartbeat, 500 ms at
most over regions, and the pause and a round trip after it. A process that starts again at its IP
asks the same as the one before, but later."""

MAX_UNTOLD = 512
"""Peers of earlier builds whose last question is kept; more than the largest fleet has nodes."""

ZLIB_LEVEL = 1
ZLIB_FIRST_BYTE = 0x78
"""What compressed bytes begin with; MessagePack of a snapshot begins with an array."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """What an answer was made of, and whether it holds each of the two."""

    configuration: int
    registry_revision: int
    with_configuration: bool
    with_endpoints: bool
    in_parts: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PackedAnswer:
    """An answer to peers, compressed where that pays."""

    contents: Contents
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Untold:
    """What a peer asked that doesn't tell which shape of answer it takes, and which one it got.

    Attributes:
      at_ms: when it asked.
    """

    asked: gossip.SnapshotRequest
    in_parts: bool
    at_ms: int


class SnapshotExchange:
    """One node's side of the snapshots.

    Attributes:
      packed: the last answer.
      untold: what peers asked last that don't tell which shape they take, by IP.
    """

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.fetching: asyncio.Task[None] | None = None
        self.packed: PackedAnswer | None = None
        self.untold: dict[str, Untold] = {}

    def fetch_from(self, address: str) -> None:
        """Begin to fetch what a peer knows beyond this node, unless a fetch runs."""
        if self.fetching is not None and not self.fetching.done():
            return
        loop = asyncio.get_running_loop()
        self.fetching = loop.create_task(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        if self.state.table is not None:
            await asyncio.sleep(FETCH_PAUSE_MS / 1000.0)
        held = gossip.SnapshotRequest(
            self.state.configuration_version(),
            self.state.registry.revision,
            accepts_compressed=True,
            accepts_parts=True,
        )
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000.0):
                snapshot = await _ask(address, held)
        except (OSError, TimeoutError, msgspec.DecodeError, errors.PeerProtocolError) as error:
            self.state.log.write("fetch_failed", peer=address, error=f"{error!r}")
            return
        self._adopt(snapshot)

    def _adopt(self, snapshot: gossip.Snapshot) -> None:
        for encoded in snapshot.configuration:
            self._adopt_configuration(snapshot.node, encoded)
        if snapshot.with_endpoints:
            registry = self.state.registry
            changes = registry.replace(
                self._readable(snapshot.node, snapshot.endpoints),
                snapshot.registry_revision,
                snapshot.node,
            )
            self.state.registry_changed(changes, snapshot.node)

    def _adopt_configuration(self, peer: str, encoded: msgspec.Raw) -> None:
        try:
            configuration = gossip.configuration_decoder.decode(encoded)
        except msgspec.DecodeError as error:
            self.state.log.write("bad_snapshot", peer=peer, what="configuration", error=str(error))
            return
        self.state.adopt_table(routing_table.build(configuration), peer)

    def _readable(self, peer: str, encoded: Iterable[msgspec.Raw]) -> list[traffic.Endpoint]:
        """Return the endpoints that can be read; one that can't costs no other."""
        found = []
        for one in encoded:
            try:
                found.append(gossip.endpoint_decoder.decode(one))
            except msgspec.DecodeError as error:
                self.state.log.write("bad_snapshot", peer=peer, what="endpoint", error=str(error))
        return found

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one peer that asks for what is newer."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000.0):
                asked = gossip.request_decoder.decode(await frames.read(reader, gossip.FRAME_LIMIT))
                in_parts = asked.accepts_parts or self._guess(
                    writer.get_extra_info("peername")[0], asked
                )
                writer.write(frames.pack(self._answer(asked, in_parts)))
                await writer.drain()
        except (OSError, TimeoutError, EOFError, msgspec.DecodeError, errors.PeerProtocolError):
            pass
        except asyncio.CancelledError:
            # Only the process's end cancels this; asyncio would print a cancelled task as an error.
            pass
        finally:
            writer.close()

    def _guess(self, peer: str, asked: gossip.SnapshotRequest) -> bool:
        """Return whether a peer that doesn't tell takes parts.

        Two earlier builds take different shapes, and ask alike. One that asks once more for what it
        just got could not read it, and gets the other shape. Nodes are told apart by their IP.
        """
        if not self._is_configuration_newer(asked) and not self._are_endpoints_newer(asked):
            # Whoever asks too early gets nothing new, in a shape that is as good as the other one.
            return True
        now = self.state.clock.now()
        before = self.untold.pop(peer, None)
        in_parts = (
            before is None
            or before.asked != asked
            or now - before.at_ms > ASKED_AGAIN_MS
            or not before.in_parts
        )
        self.untold[peer] = Untold(asked, in_parts, now)
        while len(self.untold) > MAX_UNTOLD:
            del self.untold[next(iter(self.untold))]
        return in_parts

    def _answer(self, asked: gossip.SnapshotRequest, in_parts: bool = True) -> bytes:
        """Return the answer to one peer; the same one is not put together twice."""
        if not asked.accepts_compressed:
            return gossip.encoder.encode(self._told(asked, in_parts))
        contents = Contents(
            self.state.configuration_version(),
            self.state.registry.revision,
            self._is_configuration_newer(asked),
            self._are_endpoints_newer(asked),
            in_parts,
        )
        if self.packed is None or self.packed.contents != contents:
            encoded = gossip.encoder.encode(self._told(asked, in_parts))
            if len(encoded) >= MIN_COMPRESSED:
                encoded = zlib.compress(encoded, ZLIB_LEVEL)
            self.packed = PackedAnswer(contents, encoded)
        return self.packed.encoded

    def _told(
        self, asked: gossip.SnapshotRequest, in_parts: bool
    ) -> gossip.Snapshot | gossip.FullSnapshot:
        return self._snapshot(asked) if in_parts else self._whole(asked)

    def _is_configuration_newer(self, asked: gossip.SnapshotRequest) -> bool:
        return self.state.configuration_version() > asked.configuration

    def _are_endpoints_newer(self, asked: gossip.SnapshotRequest) -> bool:
        return self.state.registry.changed_revision > asked.registry_revision

    def _whole(self, asked: gossip.SnapshotRequest) -> gossip.FullSnapshot:
        """Return a snapshot as earlier builds take it."""
        table, registry = self.state.table, self.state.registry
        newer = self._is_configuration_newer(asked)
        return gossip.FullSnapshot(
            self.state.node,
            table.configuration if table is not None and newer else None,
            tuple(registry.endpoints.values()) if self._are_endpoints_newer(asked) else None,
            registry.revision,
        )

    def _snapshot(self, asked: gossip.SnapshotRequest) -> gossip.Snapshot:
        table, registry = self.state.table, self.state.registry
        newer = self._is_configuration_newer(asked)
        fresher = self._are_endpoints_newer(asked)
        return gossip.Snapshot(
            self.state.node,
            [gossip.raw(table.configuration)] if table is not None and newer else [],
            [gossip.raw(one) for one in registry.endpoints.values()] if fresher else [],
            fresher,
            registry.revision,
        )


def _unpack(answer: bytes) -> gossip.Snapshot:
    """Return the snapshot in an answer.

    Raises:
      PeerProtocolError: it is not what it says, or larger than a frame may be.
    """
    if answer[:1] == bytes((ZLIB_FIRST_BYTE,)):
        inflater = zlib.decompressobj()
        try:
            answer = inflater.decompress(answer, gossip.FRAME_LIMIT)
        except zlib.error as error:
            raise errors.PeerProtocolError(f"The snapshot can't be inflated: {error}.") from error
        if inflater.unconsumed_tail:
            raise errors.PeerProtocolError("The snapshot is larger than a frame may be.")
    return gossip.decode_snapshot(answer)


async def _ask(address: str, request: gossip.SnapshotRequest) -> gossip.Snapshot:
    reader, writer = await asyncio.open_connection(*addresses.split(address))
    try:
        writer.write(frames.pack(gossip.encoder.encode(request)))
        return _unpack(await frames.read(reader, gossip.FRAME_LIMIT))
    except EOFError as error:
        raise errors.PeerProtocolError("The peer closed early. Ask again later.") from error
    finally:
        writer.close()
