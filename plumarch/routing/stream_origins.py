"""The software versions at which event streams began; a stream may go on only at its own.

Endpoints don't check this: what two versions write does not fit together. A caller that resumes a
stream names the attempt that brought its first event; one that names none is recognised by its
request.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from plumarch.core import clock, hashing, traffic

MAX_STREAMS = 16_384
"""Streams remembered, a few hundred bytes each."""

ANSWER_WAIT_MS = 150.0
"""Wait for other nodes' answers: a round trip to another region, with a stop at a coordinator."""

MIN_RETENTION_MS = 30_000
"""Minimum time after its last event in which a stream can be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    Attributes:
      version: software version of the endpoint; "" if it announces none.
    """

    service: str
    version: str

    def matching(self, endpoints: Sequence[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints at which the stream may go on."""
        found = [one for one in endpoints if one.service == self.service]
        return [one for one in found if one.version == self.version]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteOrigin:
    """An origin of a route's streams."""

    route: str
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream as its caller identifies it.

    Attributes:
      first_attempt: hash of the workspace and the id of the attempt that brought the first event; 0
        if it has none.
      fingerprint: hash of the workspace and the request, the same for all its attempts.
    """

    first_attempt: int
    fingerprint: int

    def name(self) -> str:
        """Return a name for logs and for what waits for answers."""
        return f"{self.first_attempt:016x}-{self.fingerprint:016x}"


NO_STREAM = Stream(0, 0)


def of_endpoint(endpoint: traffic.Endpoint) -> Origin:
    """Return the origin of a stream that begins at an endpoint."""
    return Origin(endpoint.service, endpoint.version)


def attempt_key(workspace: str, request: str) -> int:
    """Return the hash of an attempt's workspace and id; 0 without an id."""
    return hashing.digest(workspace, request) if request else 0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOrigin:
    """What is known of a stream's origin.

    Attributes:
      origin: None if reports contradict one another.
    """

    origin: Origin | None
    until_ms: int


@dataclasses.dataclass(slots=True)
class OwnStream:
    """A stream that this node relays, or relayed lately.

    Attributes:
      began: its route and where it began.
      endpoint: stable name of the last one.
      until_ms: when it can no longer be resumed, unless it runs.
      check_ms: when it is to be reported again if it runs, or forgotten.
      running: answers that relay it now.
    """

    began: RouteOrigin
    endpoint: str
    until_ms: int = 0
    check_ms: int = 0
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An origin for other nodes; None if this node doubts what it reported."""

    stream: Stream
    origin: Origin | None


@dataclasses.dataclass(slots=True)
class StreamOrigins:
    """The origins of streams that can still be resumed.

    Attributes:
      retention_ms: time after its last event in which a stream can be resumed.
      by_attempt: by the hash of the first attempt, next to expire first.
      by_fingerprint: by the hash of the request, in the same order.
      own: streams that this node relays or relayed, next to be checked first.
      unreported: those that other nodes were not sent yet, by route and origin.
    """

    clock: clock.Clock
    retention_ms: int = MIN_RETENTION_MS
    by_attempt: dict[int, KnownOrigin] = dataclasses.field(default_factory=dict)
    by_fingerprint: dict[int, KnownOrigin] = dataclasses.field(default_factory=dict)
    own: dict[Stream, OwnStream] = dataclasses.field(default_factory=dict)
    unreported: dict[RouteOrigin, dict[Stream, None]] = dataclasses.field(default_factory=dict)

    def begin(self, stream: Stream, endpoint: traffic.Endpoint, route: str) -> None:
        """Record that this node relays a stream's first event, here or of a resumption."""
        origin = of_endpoint(endpoint)
        self.add(stream, origin)
        known = self.own.get(stream)
        if known is None:
            known = OwnStream(RouteOrigin(route, origin), endpoint.stable_name())
            self._report(stream, known)
        known.endpoint = endpoint.stable_name()
        known.running += 1
        self._keep(stream, known)

    def end(self, stream: Stream) -> None:
        """Record that an answer with events of a stream ended; it can be resumed for a while."""
        known = self.own.get(stream)
        if known is None:
            return
        known.running = max(0, known.running - 1)
        self._keep(stream, known)
        self.add(stream, known.began.origin)

    def _keep(self, stream: Stream, known: OwnStream) -> None:
        now = self.clock.now()
        known.until_ms = now + self.retention_ms
        known.check_ms = now + self.retention_ms // 2
        self.own.pop(stream, None)
        self._make_room()
        self.own[stream] = known

    def _make_room(self) -> None:
        while len(self.own) >= MAX_STREAMS:
            self._forget(next(iter(self.own)))

    def _forget(self, stream: Stream) -> None:
        known = self.own.pop(stream)
        waiting = self.unreported.get(known.began, {})
        waiting.pop(stream, None)
        if not waiting:
            self.unreported.pop(known.began, None)

    def _report(self, stream: Stream, known: OwnStream) -> None:
        self.unreported.setdefault(known.began, {})[stream] = None

    def add(self, stream: Stream, origin: Origin | None) -> None:
        """Record an origin, as seen here or reported; contradictions leave none."""
        # One entry for both indexes halves what a stream takes.
        entry = KnownOrigin(origin, self.clock.now() + self.retention_ms)
        if stream.first_attempt:
            self._add(self.by_attempt, stream.first_attempt, entry)
        self._add(self.by_fingerprint, stream.fingerprint, entry)

    def _add(self, index: dict[int, KnownOrigin], key: int, entry: KnownOrigin) -> None:
        known = index.pop(key, None)
        is_valid = known is not None and known.until_ms > self.clock.now()
        if known is not None and is_valid and known.origin != entry.origin:
            entry = KnownOrigin(None, entry.until_ms)
        while len(index) >= MAX_STREAMS:
            del index[next(iter(index))]
        index[key] = entry

    def find(self, stream: Stream) -> KnownOrigin | None:
        """Return what is known of a stream, by its first attempt if that is given."""
        if stream.first_attempt:
            known = self.by_attempt.get(stream.first_attempt)
        else:
            known = self.by_fingerprint.get(stream.fingerprint)
        if known is None or known.until_ms <= self.clock.now():
            return None
        return known

    def doubt_restarted(self, versions: Mapping[str, str]) -> None:
        """Leave own streams without origin if their endpoint restarted in another version.

        They may have reached the new process before its entry was known.

        Args:
          versions: of restarted endpoints, by stable name.
        """
        for stream, known in self.own.items():
            began_at = known.began.origin.version
            if versions.get(known.endpoint, began_at) != began_at:
                self.add(stream, None)
                self._report(stream, known)

    def step(self) -> None:
        """Forget what can't be resumed; report running streams again before others forget them."""
        now = self.clock.now()
        for index in (self.by_attempt, self.by_fingerprint):
            while index and next(iter(index.values())).until_ms <= now:
                del index[next(iter(index))]
        while self.own:
            stream, known = next(iter(self.own.items()))
            if known.check_ms > now:
                return
            if not known.running and known.until_ms <= now:
                self._forget(stream)
                continue
            if known.running:
                known.until_ms = now + self.retention_ms
                self.add(stream, known.began.origin)
                self._report(stream, known)
            known.check_ms = now + self.retention_ms // 2
            self.own[stream] = self.own.pop(stream)

    def take_reports(self, began: RouteOrigin) -> list[Report]:
        """Return what other nodes were not sent yet of a route's own streams from one origin."""
        found = []
        for stream in self.unreported.pop(began, {}):
            known = self.find(stream)
            found.append(Report(stream, known.origin if known is not None else None))
        return found
