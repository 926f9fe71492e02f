"""The record of where streams begin, in the platform's store: it outlasts a kill of all nodes.

The most senior node that reaches the store records each origin that is listed for a route, and when
one no longer is. Any other node adds an origin that it uses and doesn't find there.
"""

import asyncio
from collections.abc import Callable

import msgspec

from plumarch.core import decoding, errors, records, revisions, traffic
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.store import follower, stream_segments
from plumarch.routing import origin_uses, stream_origins

KIND = stream_segments.KIND
NAME = "origins"

CHECK_MS = 100.0
"""Interval of the checks for due calls."""

FIRST_CHECK_MS = 500.0
"""Delay of the first check, in which a new process learns of more senior ones."""

ADD_DELAY_MS = (300.0, 800.0)
"""Range of the delay after which a node other than the most senior adds an origin itself."""

END_CHECK_MS = 1_000
"""Interval at which the most senior node looks for origins that are no longer in use."""

REFRESH_MS = 20_000
"""Interval at which it reads what other nodes added."""

MIN_READ_INTERVAL_MS = 1_000
"""Minimum time between two reads for resumptions; each call is billed."""

MAX_LOGGED_CHARS = 200
"""Maximum characters of a logged value."""


class UsesValue(msgspec.Struct, frozen=True):
    """The record's value.

    Attributes:
      since: see OriginUses.since_ms.
      uses: route, service, version and end of each origin.
    """

    since: int
    era: int
    uses: list[tuple[str, str, str, int | None]]


class OriginRecord:
    """One node's copy of the record.

    Attributes:
      revision: when last read or written; 0 if there was no record.
      was_read: whether the record was read since the start, or since the store came back from an
        older copy.
      missing: origins that this node uses, or has to record, and doesn't find in its copy.
      due_ms: when they are written.
      reading: the read that resumptions wait for, if any.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: ports.Store,
        segments: stream_segments.StreamSegments,
        follows: Callable[[], bool] = lambda: True,
        first_start: bool = False,
    ) -> None:
        """Create the copy.

        Args:
          segments: read together with the record.
          follows: returns whether this node has to keep the record now.
          first_start: whether the whole deployment starts for the first time.
        """
        self.state = state
        self.store = store
        self.segments = segments
        self.follows = follows
        self.first_start = first_start
        self.dependency = follower.Dependency(state, "store-origins")
        self.revision = 0
        self.was_read = False
        self.rollbacks = state.rollbacks
        self.missing: dict[stream_origins.RouteOrigin, None] = {}
        self.due_ms = 0.0
        self.check_ms = 0
        self.read_ms = 0
        self.reading: asyncio.Task[None] | None = None
        state.stream_began = self.note_begun
        state.read_origins = self.read_for_resumption

    def note_begun(self, began: stream_origins.RouteOrigin) -> None:
        """Have an origin recorded that this node uses."""
        known = self.state.recorded_origins
        if began in self.missing or (known is not None and known.uses.is_in_use(began)):
            return
        if not self.missing:
            self.due_ms = self.state.clock.now() + self.state.rng.uniform(*ADD_DELAY_MS)
        self.missing[began] = None

    async def run(self) -> None:
        """Read and write the record when due, forever."""
        await asyncio.sleep(FIRST_CHECK_MS / 1000.0)
        while True:
            pause_ms = CHECK_MS
            try:
                await self.step()
            except errors.PlatformConflict:
                # Another node wrote first: its record is read before the next write.
                self.was_read = False
            except errors.PlatformError as error:
                self.was_read = False
                pause_ms = self.dependency.failed(error, follower.SHARED_BACKOFF)
            await asyncio.sleep(pause_ms / 1000.0)

    async def step(self) -> None:
        """Read or write what is due.

        Raises:
          PlatformError: the call failed; to be retried.
        """
        state = self.state
        if self.rollbacks != state.rollbacks:
            self._forget()
        if state.table is None or state.registry.revision < 0 or not state.reaches_store:
            return
        now = state.clock.now()
        is_keeper = self.follows()
        if is_keeper and not self.was_read:
            await self._read()
        if is_keeper:
            self._add_listed()
        if self.missing and (is_keeper or now >= self.due_ms):
            await self._write_missing(is_keeper)
        elif is_keeper and now >= self.check_ms:
            self.check_ms = now + END_CHECK_MS
            await self._write_ended()

    def _forget(self) -> None:
        """Read the record again, since the store came back from an older copy."""
        self.rollbacks = self.state.rollbacks
        known, self.state.recorded_origins = self.state.recorded_origins, None
        self.was_read = False
        for one in known.uses.in_use() if known is not None else ():
            self.note_begun(one)

    # Reading.

    async def read_for_resumption(self, wait_ms: float) -> None:
        """Read the record for a resumption, unless that was done just now.

        Args:
          wait_ms: maximum time to wait.
        """
        now = self.state.clock.now()
        if self.reading is None and now - self.read_ms >= MIN_READ_INTERVAL_MS:
            self.reading = asyncio.ensure_future(self._read_logged())
        if self.reading is not None:
            await asyncio.wait({self.reading}, timeout=max(0.0, wait_ms) / 1000.0)

    async def _read_logged(self) -> None:
        try:
            await self._read()
        except errors.PlatformError as error:
            self.state.log.write("origins_unread", error=str(error))
        finally:
            self.reading = None

    async def _read(self) -> None:
        """Read the record, and the recorded streams.

        Raises:
          PlatformError: the store did not answer.
        """
        began_ms = self.read_ms = self.state.clock.now()
        found = await self.store.list_records(KIND)
        self.dependency.answered()
        self.state.unreadable.listed(KIND, found.unreadable)
        self.was_read = True
        self.revision = 0
        uses = None
        for record in found.found:
            if record.name == NAME:
                self.revision = record.revision
                uses = self._decode(record)
        if uses is not None and uses.era < revisions.era(found.revision):
            uses = None
        self._adopt(uses, began_ms)
        self.segments.load(found.found)

    def _decode(self, record: records.Record) -> origin_uses.OriginUses | None:
        uses = decode(record.value)
        if uses is None:
            value = record.value[:MAX_LOGGED_CHARS]
            self.state.log.write("bad_origin_record", urgent=True, name=record.name, value=value)
        return uses

    def _adopt(self, uses: origin_uses.OriginUses | None, read_ms: int) -> None:
        if uses is None:
            self.state.recorded_origins = None
            return
        self.state.recorded_origins = origin_uses.KnownUses(uses, read_ms)
        self.missing = {one: None for one in self.missing if not uses.is_in_use(one)}

    # Writing.

    def _add_listed(self) -> None:
        """Have all origins recorded at which streams of the recorded routes may begin."""
        known = self.state.recorded_origins
        if known is None or self.state.table is None:
            return
        for route in self.state.table.configuration.routes:
            if route.name in known.uses.by_route:
                for one in self._listed(route):
                    if not known.uses.is_in_use(one):
                        self.missing[one] = None

    def _listed(self, route: traffic.Route) -> list[stream_origins.RouteOrigin]:
        listed = self.state.registry.versions.listed
        return [
            stream_origins.RouteOrigin(route.name, stream_origins.Origin(share.service, version))
            for share in route.shares
            if share.weight > 0
            for version in sorted(listed.get(share.service, ()))
        ]

    async def _write_missing(self, is_keeper: bool) -> None:
        if not is_keeper:
            await self._read()
        if self.missing:
            known = self.state.recorded_origins
            before = known.uses if known is not None else self._new_uses()
            await self._write(before.with_begun(self.missing))

    def _new_uses(self) -> origin_uses.OriginUses:
        """Return an empty list; it is complete if no stream can have begun before."""
        is_first = self.first_start and not self.revision and not self.state.rollbacks
        since_ms = 0 if is_first else self.state.wall.now()
        return origin_uses.OriginUses(since_ms, max(0, self.state.store_era))

    async def _write_ended(self) -> None:
        """Record which origins are no longer listed, by what this node knows of all endpoints."""
        state, known = self.state, self.state.recorded_origins
        if known is None or state.table is None or not state.knows_endpoints():
            return
        if state.clock.now() - known.read_ms >= REFRESH_MS:
            await self._read()
            return
        listed = {one for route in state.table.configuration.routes for one in self._listed(route)}
        unused = [one for one in known.uses.in_use() if one not in listed]
        if unused:
            await self._write(known.uses.with_ended(unused, state.wall.now()))

    async def _write(self, uses: origin_uses.OriginUses) -> None:
        """Write the record.

        Raises:
          PlatformConflict: it changed since it was read.
        """
        began_ms = self.state.clock.now()
        wanted = uses.pruned(self.state.wall.now())
        record = records.Record(NAME, encode(wanted), self.revision)
        written = await self.store.write_record(KIND, record)
        self.dependency.answered()
        self.revision = written.revision
        self._adopt(wanted, began_ms)
        self.state.log.write(
            "origins_recorded",
            in_use=_shown(wanted),
            since=wanted.since_ms,
            revision=revisions.shown(self.revision),
        )


def _shown(uses: origin_uses.OriginUses) -> list[str]:
    """Return the origins in use for logs."""
    used = [(one.route, one.origin) for one in uses.in_use()]
    return [f"{route} {origin.service} {origin.version}" for route, origin in used]


def encode(uses: origin_uses.OriginUses) -> str:
    """Encode the list as the record's value."""
    entries = [
        (route, origin.service, origin.version, ended_ms)
        for route, ended in sorted(uses.by_route.items())
        for origin, ended_ms in ended.items()
    ]
    return msgspec.json.encode(UsesValue(uses.since_ms, uses.era, entries)).decode()


def decode(value: str) -> origin_uses.OriginUses | None:
    """Decode the record's value, or return None if it is malformed."""
    try:
        found = decoding.json_text(value, UsesValue)
    except msgspec.DecodeError:
        return None
    by_route: dict[str, dict[stream_origins.Origin, int | None]] = {}
    for route, service, version, ended_ms in found.uses:
        by_route.setdefault(route, {})[stream_origins.Origin(service, version)] = ended_ms
    return origin_uses.OriginUses(found.since, found.era, by_route)
