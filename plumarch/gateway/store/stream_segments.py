"""Streams recorded in the store, so that they can be resumed after all nodes were killed.

Only streams are recorded whose origin can't be deduced. They stand in segments: objects that are
filled one after the other, and used again once all of their streams are too old to be resumed. Any
node may take an unused segment; conditional writes decide between two that do.
"""

import asyncio
import base64
import dataclasses
import struct
from collections.abc import Iterable, Sequence

import msgspec

from plumarch.core import decoding, errors, records
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.store import follower
from plumarch.routing import origin_uses, stream_origins

KIND = "plumarch-streams"
PREFIX = "segment-"

FLUSH_MS = 250.0
"""Interval of the writes, each of which is billed."""

SEGMENT_STREAMS = 64
"""Streams of a segment; each write of it sends all of them again."""

MAX_SEGMENTS_PER_FLUSH = 8
MAX_PENDING = 16_384
"""Streams that wait for the store, oldest dropped first."""

STREAM = struct.Struct("<QQ")
"""First attempt and fingerprint of a stream."""

MAX_HASH = 2**64 - 1


class RecordedStreams(msgspec.Struct, array_like=True, frozen=True):
    """Streams that began at one origin.

    Attributes:
      version: None for streams of contradicting reports.
      streams: each as STREAM, together in base 64.
    """

    service: str
    version: str | None
    streams: str


class SegmentValue(msgspec.Struct, frozen=True):
    """A segment's value.

    Attributes:
      at: time of day of its last write.
    """

    at: int
    origins: list[RecordedStreams]


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment that this node fills, or filled.

    Attributes:
      written_ms: time of its last write, by the steady clock.
    """

    name: str
    revision: int
    written_ms: int = 0
    reports: list[stream_origins.Report] = dataclasses.field(default_factory=list)


class StreamSegments:
    """Writes the streams that this node records, and reads all recorded ones.

    Attributes:
      pending: reports to be written.
      current: the segment that is being filled.
      unused: revisions of segments whose streams are too old, by name.
      filled: full segments of this process, next to be used again first.
      created: segments that this process created.
    """

    def __init__(self, state: fleet_state.FleetState, store: ports.Store) -> None:
        self.state = state
        self.store = store
        self.dependency = follower.Dependency(state, "store-streams")
        self.pending: dict[stream_origins.Report, None] = {}
        self.current: Segment | None = None
        self.unused: dict[str, int] = {}
        self.filled: list[Segment] = []
        self.created = 0
        self.rollbacks = state.rollbacks
        state.record_streams = self.add

    def add(self, reports: Iterable[stream_origins.Report]) -> None:
        """Have streams recorded; those that other nodes report with invalid hashes are left out."""
        self.pending.update(dict.fromkeys(one for one in reports if _is_valid(one.stream)))
        while len(self.pending) > MAX_PENDING:
            del self.pending[next(iter(self.pending))]

    # Reading.

    def load(self, found: Iterable[records.Record]) -> None:
        """Apply the segments of a list of all records."""
        oldest_ms = self.state.wall.now() - self._resumable_ms()
        self.unused.clear()
        for record in found:
            if not record.name.startswith(PREFIX) or self._is_current(record):
                continue
            value = decode(record.value)
            if value is None:
                self.state.log.write("bad_stream_segment", urgent=True, name=record.name)
            if value is None or value.at < oldest_ms:
                self.unused[record.name] = record.revision
                continue
            for group in value.origins:
                for report in _reports(group):
                    self.state.streams.add(report.stream, report.origin)

    def _is_current(self, record: records.Record) -> bool:
        return self.current is not None and record.name == self.current.name

    def _resumable_ms(self) -> int:
        return self.state.streams.retention_ms + origin_uses.CLOCK_TOLERANCE_MS

    # Writing.

    async def run(self) -> None:
        """Write what is pending, forever."""
        while True:
            pause_ms = FLUSH_MS
            try:
                await self.flush()
            except errors.PlatformError as error:
                pause_ms = self.dependency.failed(error, follower.SHARED_BACKOFF)
            await asyncio.sleep(pause_ms / 1000.0)

    async def flush(self) -> None:
        """Write what is pending.

        Raises:
          PlatformError: a call failed; its streams are pending again.
        """
        if self.rollbacks != self.state.rollbacks:
            self._write_again()
        due = min(len(self.pending), MAX_SEGMENTS_PER_FLUSH * SEGMENT_STREAMS)
        while due > 0 and self.pending:
            due -= await self._fill()

    def _write_again(self) -> None:
        """Have all streams that can still be resumed written again, since the store lost some."""
        self.rollbacks = self.state.rollbacks
        oldest_ms = self.state.clock.now() - self._resumable_ms()
        for segment in self.filled:
            if segment.written_ms >= oldest_ms:
                self.add(segment.reports)
        self.filled.clear()
        self._give_up()
        self.unused.clear()

    def _give_up(self) -> None:
        """Fill another segment from now on, as this one's revision is uncertain."""
        if self.current is not None:
            self.add(self.current.reports)
        self.current = None

    async def _fill(self) -> int:
        """Write pending streams to the current segment, or to the next one if it is full.

        Returns:
          How many streams were tried.
        """
        segment = self.current
        if segment is None:
            segment = self.current = self._next_segment()
        room = SEGMENT_STREAMS - len(segment.reports)
        added = list(self.pending)[:room]
        wanted = segment.reports + added
        value = encode(wanted, self.state.wall.now())
        try:
            record = records.Record(segment.name, value, segment.revision)
            written = await self.store.write_record(KIND, record)
        except errors.PlatformConflict:
            # Another node took it first.
            self._give_up()
            return len(added)
        except errors.PlatformError:
            self._give_up()
            raise
        self.dependency.answered()
        for one in added:
            self.pending.pop(one, None)
            self.state.measures.streams.add("recorded")
        segment.reports, segment.revision = wanted, written.revision
        segment.written_ms = self.state.clock.now()
        if len(wanted) >= SEGMENT_STREAMS:
            self.filled.append(segment)
            self.current = None
        return len(added)

    def _next_segment(self) -> Segment:
        oldest_ms = self.state.clock.now() - self._resumable_ms()
        if self.filled and self.filled[0].written_ms < oldest_ms:
            over = self.filled.pop(0)
            return Segment(over.name, over.revision)
        if self.unused:
            name = self.state.rng.choice(sorted(self.unused))
            return Segment(name, self.unused.pop(name))
        self.created += 1
        return Segment(f"{PREFIX}{self.state.node}-{self.state.wall.now()}-{self.created}", 0)


def encode(reports: Sequence[stream_origins.Report], at_ms: int) -> str:
    """Encode streams as a segment's value."""
    groups: dict[stream_origins.Origin | None, list[bytes]] = {}
    for report in reports:
        packed = STREAM.pack(report.stream.first_attempt, report.stream.fingerprint)
        groups.setdefault(report.origin, []).append(packed)
    recorded = [
        RecordedStreams(
            origin.service if origin is not None else "",
            origin.version if origin is not None else None,
            base64.b64encode(b"".join(packed)).decode(),
        )
        for origin, packed in groups.items()
    ]
    return msgspec.json.encode(SegmentValue(at_ms, recorded)).decode()


def decode(value: str) -> SegmentValue | None:
    """Decode a segment's value, or return None if it is malformed."""
    try:
        found = decoding.json_text(value, SegmentValue)
        for group in found.origins:
            if len(base64.b64decode(group.streams, validate=True)) % STREAM.size:
                return None
    except (msgspec.DecodeError, ValueError):
        return None
    return found


def _is_valid(stream: stream_origins.Stream) -> bool:
    return all(0 <= one <= MAX_HASH for one in (stream.first_attempt, stream.fingerprint))


def _reports(group: RecordedStreams) -> list[stream_origins.Report]:
    origin = None
    if group.version is not None:
        origin = stream_origins.Origin(group.service, group.version)
    packed = STREAM.iter_unpack(base64.b64decode(group.streams))
    return [stream_origins.Report(stream_origins.Stream(*one), origin) for one in packed]
