"""Exchanges where event streams began, so that they can be resumed after their node is gone.

Where the streams of a route may begin at several services or software versions, each node reports
its own in rounds to a few others: two of its data centre and two elsewhere. In a large fleet these
are its coordinators, and the senior one forwards to another data centre's. One node, in a large
fleet the senior coordinator of each data centre, records them in the store as well. To resume a
stream that it doesn't know, a node asks all others, in a large fleet through its coordinators.
"""

import dataclasses
from collections.abc import Iterable

import msgspec

from plumarch.core import hashing
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import permit_exchange, readable_tags
from plumarch.membership import fleet_view, tiers
from plumarch.peers import gossip
from plumarch.routing import stream_origins

KEEPERS = 2
"""Nodes of the own data centre, and nodes elsewhere, that a stream is reported to."""

MAX_STREAMS_PER_MESSAGE = 50
"""A report of so many streams fits a datagram."""

MAX_QUESTIONS = 1_024
"""Questions that wait for answers."""

REGISTRY_AGE_MS = 4_000
SHARED_REGISTRY_AGE_MS = 7_000
"""Ages of the registry up to which a node that follows the store, for itself or for others as well,
knows all endpoints in use: a watch and the pause after it."""


@dataclasses.dataclass(slots=True)
class Question:
    """A question sent to other nodes.

    Attributes:
      open: answers still expected.
    """

    until_ms: int
    open: int


@dataclasses.dataclass(slots=True)
class StreamExchange:
    """Exchanges one node's messages about streams.

    Attributes:
      to_forward: reports of own members for another data centre, on a senior coordinator.
      questions: by stream, oldest first.
    """

    state: fleet_state.FleetState
    view: fleet_view.FleetView
    send: permit_exchange.Send
    readable: readable_tags.ReadableTags
    to_forward: list[gossip.ReportedStreams] = dataclasses.field(default_factory=list)
    questions: dict[stream_origins.Stream, Question] = dataclasses.field(default_factory=dict)

    # Reports.

    def step(self) -> None:
        """Report own streams whose origin others can't deduce, and forward members' reports."""
        streams = self.state.streams
        streams.step()
        doubtful = [one for one in streams.unreported if self._is_doubtful(one)]
        keepers = self._keepers() if doubtful else []
        # A node that has just started knows no keepers yet; its reports wait for them.
        can_report = keepers or not self.view.peers
        reports = [one for began in doubtful if can_report for one in streams.take_reports(began)]
        own = _grouped(reports)
        to_forward, self.to_forward = own + self.to_forward, []
        self._send_report(own, keepers, hops=0)
        if self.view.role is tiers.Role.FLAT:
            self._have_recorded(own)
        elif to_forward and self.view.role is tiers.Role.COORDINATOR:
            self._send_report(to_forward, self._remote_keepers(), hops=1)
            if self._is_senior():
                self._record(to_forward)

    def _have_recorded(self, groups: list[gossip.ReportedStreams]) -> None:
        """Have streams recorded by the most senior node that can, maybe this one."""
        recorder = self._recorder() if groups else None
        if recorder is None:
            return
        if recorder == self.view.address:
            self._record(groups)
            return
        for batch in _batches(groups):
            self.send(gossip.RecordRequest(self.view.node, batch), [recorder])

    def _recorder(self) -> str | None:
        """Return the address of the node that records the streams of a small fleet."""
        able = {
            one.seniority(): one.address
            for one in self.view.live()
            if one.reaches_store and self.readable.reads(one.address, gossip.RECORD_REQUEST_TAG)
        }
        if self.state.reaches_store:
            able[self.view.seniority()] = self.view.address
        return able[min(able)] if able else None

    def handle_record_request(self, message: gossip.RecordRequest) -> None:
        """Remember and record where another node's streams began."""
        for group in message.streams:
            self._remember(group)
        self._record(message.streams)

    def _record(self, groups: Iterable[gossip.ReportedStreams]) -> None:
        self.state.record_streams(report for group in groups for report in _reports(group))

    def _is_doubtful(self, began: stream_origins.RouteOrigin) -> bool:
        """Return whether others can't deduce this origin of a route's streams."""
        return self.state.sole_origin(began.origin.service, began.route) is None

    def _send_report(self, groups: list[gossip.ReportedStreams], to: list[str], hops: int) -> None:
        for batch in _batches(groups):
            self.send(gossip.StreamReport(self.view.node, self.view.data_centre, batch, hops), to)

    def _keepers(self) -> list[str]:
        """Return the addresses that this node reports its streams to."""
        if self.view.role is not tiers.Role.FLAT:
            return [one.address for one in self.view.coordinators()]
        near = [one for one in self.view.live() if one.data_centre == self.view.data_centre]
        far = [one for one in self.view.live() if one.data_centre != self.view.data_centre]
        found: list[str] = []
        for group in (near, far):
            readers = self._readers(one.address for one in group)
            found += hashing.rendezvous(self.view.node, readers)[:KEEPERS]
        return found

    def _remote_keepers(self) -> list[str]:
        """Return the address of another data centre's coordinator, on a senior coordinator."""
        if not self._is_senior():
            return []
        centres = self.view.live_centres()
        is_near = self.state.distances.is_in_region
        near = [name for name in centres if is_near(name)]
        for name in hashing.rendezvous(self.view.data_centre, near or list(centres)):
            readers = self._readers(one.address for one in centres[name].seniors)
            if readers:
                return readers[:1]
        return []

    def _is_senior(self) -> bool:
        return self.view.seniors()[0].seniority.name == self.view.node

    def _readers(self, addresses: Iterable[str]) -> list[str]:
        return list(self.readable.readers(addresses, gossip.ORIGIN_REQUEST_TAG))

    def handle_report(self, message: gossip.StreamReport) -> None:
        """Remember where other nodes' streams began."""
        for group in message.streams:
            self._remember(group)
        is_members = message.hops == 0 and message.data_centre == self.view.data_centre
        if is_members and self.view.role is tiers.Role.COORDINATOR and self._is_senior():
            self.to_forward += message.streams

    def _remember(self, group: gossip.ReportedStreams) -> None:
        for report in _reports(group):
            self.state.streams.add(report.stream, report.origin)

    # Questions.

    def knows_endpoints(self) -> bool:
        """Return whether this node would know of an endpoint that others have used for long.

        A node that is cut off may resume no stream by what it believes to be the sole version.
        """
        if self.view.role is tiers.Role.MEMBER:
            return self.view.has_fresh_update()
        is_shared = self.view.shares_following()
        if is_shared and not self.view.watches_store(self.view.data_centre):
            # Enough live nodes follow the store and send what changes.
            return True
        limit_ms = SHARED_REGISTRY_AGE_MS if is_shared else REGISTRY_AGE_MS
        return self.state.reaches_store and self.state.registry.age_ms() <= limit_ms

    def ask(self, stream: stream_origins.Stream, service: str, route: str) -> int:
        """Ask other nodes where a stream began; return how many were asked."""
        now = self.state.clock.now()
        self._prune_questions(now)
        if stream in self.questions:
            return self.questions[stream].open
        if len(self.questions) >= MAX_QUESTIONS:
            return 0
        to = self._readers(self._advisers())
        if to:
            until_ms = now + round(stream_origins.ANSWER_WAIT_MS)
            self.questions[stream] = Question(until_ms, len(to))
            is_member = self.view.role is tiers.Role.MEMBER
            request = gossip.OriginRequest(
                self.view.address,
                service,
                route,
                stream.first_attempt,
                stream.fingerprint,
                hops=0 if is_member else 1,
            )
            self.send(request, to)
        return len(to)

    def _prune_questions(self, now: int) -> None:
        while self.questions:
            first, question = next(iter(self.questions.items()))
            if question.until_ms > now:
                return
            del self.questions[first]

    def _advisers(self) -> list[str]:
        """Return the addresses of the nodes to ask."""
        if self.view.role is tiers.Role.FLAT:
            return [one.address for one in self.view.live()][: tiers.FLAT_FLEET]
        own = [one.address for one in self.view.coordinators()]
        if self.view.role is tiers.Role.COORDINATOR:
            return own + self._remote_seniors()
        return own

    def _remote_seniors(self) -> list[str]:
        centres = self.view.live_centres().values()
        return [one.seniors[0].address for one in centres if one.seniors]

    def handle_request(self, message: gossip.OriginRequest) -> None:
        """Answer a question; a senior coordinator forwards a member's to other data centres."""
        stream = stream_origins.Stream(message.attempt, message.fingerprint)
        report = self._known(stream, message)
        forwarded = 0
        is_members = message.hops == 0 and self.view.role is tiers.Role.COORDINATOR
        if report is None and is_members and self._is_senior():
            to = [one for one in self._readers(self._remote_seniors()) if one != message.address]
            self.send(msgspec.structs.replace(message, hops=1), to)
            forwarded = len(to)
        answer = gossip.OriginAnswer(
            message.attempt,
            message.fingerprint,
            _grouped([report] if report is not None else []),
            forwarded,
        )
        self.send(answer, [message.address])

    def _known(
        self, stream: stream_origins.Stream, message: gossip.OriginRequest
    ) -> stream_origins.Report | None:
        """Return what this node knows of a stream, itself or by its service's sole version."""
        known = self.state.streams.find(stream)
        if known is not None:
            return stream_origins.Report(stream, known.origin)
        origin = self.state.sole_origin(message.service, message.route)
        return stream_origins.Report(stream, origin) if origin is not None else None

    def handle_answer(self, message: gossip.OriginAnswer) -> None:
        """Apply an answer; wake what waits if it is the origin, or the last answer."""
        stream = stream_origins.Stream(message.attempt, message.fingerprint)
        for group in message.found:
            self._remember(group)
        question = self.questions.get(stream)
        if question is None:
            return
        question.open += message.forwarded - 1
        if message.found or question.open <= 0:
            del self.questions[stream]
            self.state.origin_answers.answered(stream.name())


def _reports(group: gossip.ReportedStreams) -> list[stream_origins.Report]:
    origin = stream_origins.Origin(group.service, group.version[0]) if group.version else None
    return [
        stream_origins.Report(stream_origins.Stream(attempt, fingerprint), origin)
        for attempt, fingerprint in zip(group.attempts, group.fingerprints, strict=False)
    ]


def _grouped(reports: Iterable[stream_origins.Report]) -> list[gossip.ReportedStreams]:
    """Return reports as messages hold them, by origin."""
    groups: dict[stream_origins.Origin | None, list[stream_origins.Stream]] = {}
    for report in reports:
        groups.setdefault(report.origin, []).append(report.stream)
    return [
        gossip.ReportedStreams(
            origin.service if origin is not None else "",
            [origin.version] if origin is not None else [],
            [one.first_attempt for one in streams],
            [one.fingerprint for one in streams],
        )
        for origin, streams in groups.items()
    ]


def _batches(groups: list[gossip.ReportedStreams]) -> Iterable[list[gossip.ReportedStreams]]:
    """Divide groups into parts that fit a datagram each."""
    batch: list[gossip.ReportedStreams] = []
    room = MAX_STREAMS_PER_MESSAGE
    for group in groups:
        attempts, fingerprints = group.attempts, group.fingerprints
        while attempts:
            taken = min(room, len(attempts))
            batch.append(
                gossip.ReportedStreams(
                    group.service, group.version, attempts[:taken], fingerprints[:taken]
                )
            )
            attempts, fingerprints = attempts[taken:], fingerprints[taken:]
            room -= taken
            if not room:
                yield batch
                batch, room = [], MAX_STREAMS_PER_MESSAGE
    if batch:
        yield batch
