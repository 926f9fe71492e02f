"""Exchanges newer configurations and endpoints with peers."""

import asyncio
import dataclasses
import zlib
from collections.abc import Iterable

import msgspec

from plumarch.config import routing_table
from plumarch.core import addresses, decoding, errors, revisions, traffic
from plumarch.gateway import fleet_state
from plumarch.peers import frames, gossip

FETCH_PAUSE_MS = 120
"""Delay before a fetch; the store usually reports the same change in it."""

FETCH_TIMEOUT_MS = 1_500

MIN_COMPRESSED = 4_096
"""Bytes from which a snapshot is compressed.

Many nodes may fetch a snapshot from one coordinator at once.
"""

LEGACY_RETRY_MS = 750
"""Time within which a repeated request means that the peer could not read the answer.

A process that restarts at the same IP sends the same request, but later.
"""

MAX_LEGACY_REQUESTS = 512
"""Peers of earlier builds whose request is kept."""

ZLIB_LEVEL = 1
ZLIB_FIRST_BYTE = 0x78
"""First byte of compressed data; no MessagePack array starts with it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Contents:
    """The versions and parts in an answer."""

    configuration: int
    registry_revision: int
    store_era: int
    with_configuration: bool
    with_endpoints: bool
    in_parts: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PackedAnswer:
    """An encoded answer, maybe compressed."""

    contents: Contents
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LegacyRequest:
    """A request that does not declare its snapshot format, and the format sent."""

    request: gossip.SnapshotRequest
    in_parts: bool
    at_ms: int


class SnapshotExchange:
    """Fetches and serves one node's snapshots.

    Attributes:
      legacy_requests: last requests without a declared snapshot format, by IP.
    """

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.fetching: asyncio.Task[None] | None = None
        self.packed: PackedAnswer | None = None
        self.legacy_requests: dict[str, LegacyRequest] = {}

    def fetch_from(self, address: str) -> None:
        """Start fetching what is newer from a peer, unless a fetch is running."""
        if self.fetching is not None and not self.fetching.done():
            return
        loop = asyncio.get_running_loop()
        self.fetching = loop.create_task(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        if self.state.table is not None:
            await asyncio.sleep(FETCH_PAUSE_MS / 1000.0)
        known = self.state.registry
        request = gossip.SnapshotRequest(
            self.state.configuration_version(),
            known.sent_number(known.revision),
            accepts_compressed=True,
            accepts_parts=True,
            store_era=max(0, revisions.era(known.revision)),
            renumbered=known.renumbered,
        )
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000.0):
                snapshot = await _request(address, request)
        except (OSError, TimeoutError, msgspec.DecodeError, errors.PeerProtocolError) as error:
            self.state.log.write("fetch_failed", peer=address, error=f"{error!r}")
            return
        self._adopt(snapshot)

    def _adopt(self, snapshot: gossip.Snapshot) -> None:
        for encoded in snapshot.configuration:
            self._adopt_configuration(snapshot.node, encoded)
        if snapshot.with_endpoints:
            registry = self.state.registry
            revision = gossip.revision_of(snapshot)
            self.state.note_store_era(revision, snapshot.node)
            self.state.note_stale_endpoints(revision, snapshot.node)
            changes = registry.replace(
                self._readable(snapshot.node, snapshot.endpoints), revision, snapshot.node
            )
            self.state.registry_changed(changes, snapshot.node)

    def _adopt_configuration(self, peer: str, encoded: msgspec.Raw) -> None:
        try:
            configuration = decoding.message(gossip.configuration_decoder, encoded)
        except msgspec.DecodeError as error:
            self.state.log.write("bad_snapshot", peer=peer, what="configuration", error=str(error))
            return
        self.state.adopt_table(routing_table.build(configuration), peer)

    def _readable(self, peer: str, encoded: Iterable[msgspec.Raw]) -> list[traffic.Endpoint]:
        """Return decodable endpoints; log the others."""
        found = []
        for one in encoded:
            try:
                found.append(decoding.message(gossip.endpoint_decoder, one))
            except msgspec.DecodeError as error:
                self.state.log.write("bad_snapshot", peer=peer, what="endpoint", error=str(error))
        return found

    async def answer(self, request: gossip.SnapshotRequest, writer: asyncio.StreamWriter) -> None:
        """Answer a snapshot request.

        Raises:
          TimeoutError: the peer reads too slowly.
          OSError: the connection ended.
        """
        async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000.0):
            in_parts = request.accepts_parts or self._guess_in_parts(
                writer.get_extra_info("peername")[0], request
            )
            writer.write(frames.pack(self._answer(request, in_parts)))
            await writer.drain()

    def _guess_in_parts(self, peer: str, request: gossip.SnapshotRequest) -> bool:
        """Return whether a peer that declares no snapshot format takes parts.

        Two earlier builds send the same request; one that repeats it soon gets the other format.
        """
        if not self._is_configuration_newer(request) and not self._are_endpoints_newer(request):
            # An empty answer can be read in either format.
            return True
        now = self.state.clock.now()
        before = self.legacy_requests.pop(peer, None)
        in_parts = (
            before is None
            or before.request != request
            or now - before.at_ms > LEGACY_RETRY_MS
            or not before.in_parts
        )
        self.legacy_requests[peer] = LegacyRequest(request, in_parts, now)
        while len(self.legacy_requests) > MAX_LEGACY_REQUESTS:
            del self.legacy_requests[next(iter(self.legacy_requests))]
        return in_parts

    def _answer(self, request: gossip.SnapshotRequest, in_parts: bool = True) -> bytes:
        """Return the encoded answer, reusing the last one if nothing changed."""
        if not request.accepts_compressed:
            return gossip.encoder.encode(self._compose(request, in_parts))
        registry = self.state.registry
        contents = Contents(
            self.state.configuration_version(),
            registry.sent_number(registry.revision),
            revisions.era(registry.revision),
            self._is_configuration_newer(request),
            self._are_endpoints_newer(request),
            in_parts,
        )
        if self.packed is None or self.packed.contents != contents:
            encoded = gossip.encoder.encode(self._compose(request, in_parts))
            if len(encoded) >= MIN_COMPRESSED:
                encoded = zlib.compress(encoded, ZLIB_LEVEL)
            self.packed = PackedAnswer(contents, encoded)
        return self.packed.encoded

    def _compose(
        self, request: gossip.SnapshotRequest, in_parts: bool
    ) -> gossip.Snapshot | gossip.FullSnapshot:
        return self._snapshot(request) if in_parts else self._full(request)

    def _is_configuration_newer(self, request: gossip.SnapshotRequest) -> bool:
        return self.state.configuration_version() > request.configuration

    def _are_endpoints_newer(self, request: gossip.SnapshotRequest) -> bool:
        known = self.state.registry
        if not request.store_era:
            # Builds that don't know eras compare the numbers sent.
            return known.sent_number(known.changed_revision) > request.registry_revision
        return known.changed_revision > gossip.revision_of(request)

    def _full(self, request: gossip.SnapshotRequest) -> gossip.FullSnapshot:
        """Return a snapshot for earlier builds."""
        table, registry = self.state.table, self.state.registry
        with_configuration = self._is_configuration_newer(request)
        return gossip.FullSnapshot(
            self.state.node,
            table.configuration if table is not None and with_configuration else None,
            tuple(registry.as_listed()) if self._are_endpoints_newer(request) else None,
            registry.sent_number(registry.revision),
        )

    def _snapshot(self, request: gossip.SnapshotRequest) -> gossip.Snapshot:
        table, registry = self.state.table, self.state.registry
        with_configuration = self._is_configuration_newer(request)
        with_endpoints = self._are_endpoints_newer(request)
        return gossip.Snapshot(
            self.state.node,
            [gossip.raw(table.configuration)] if table is not None and with_configuration else [],
            [gossip.raw(one) for one in registry.as_listed()] if with_endpoints else [],
            with_endpoints,
            registry.sent_number(registry.revision),
            max(0, revisions.era(registry.revision)),
            registry.renumbered,
        )


def _unpack(answer: bytes) -> gossip.Snapshot:
    """Unpack an answer.

    Raises:
      PeerProtocolError: it cannot be decompressed or decoded, or exceeds the frame limit.
    """
    if answer[:1] == bytes((ZLIB_FIRST_BYTE,)):
        inflater = zlib.decompressobj()
        try:
            answer = inflater.decompress(answer, gossip.FRAME_LIMIT)
        except zlib.error as error:
            raise errors.PeerProtocolError(f"The snapshot cannot be inflated: {error}.") from error
        if inflater.unconsumed_tail:
            raise errors.PeerProtocolError("The snapshot is larger than the frame limit.")
    return gossip.decode_snapshot(answer)


async def _request(address: str, request: gossip.SnapshotRequest) -> gossip.Snapshot:
    reader, writer = await asyncio.open_connection(*addresses.split(address))
    try:
        writer.write(frames.pack(gossip.encoder.encode(request)))
        return _unpack(await frames.read(reader, gossip.FRAME_LIMIT))
    except EOFError as error:
        raise errors.PeerProtocolError(
            "The peer closed the connection before the end of its answer."
        ) from error
    finally:
        writer.close()
