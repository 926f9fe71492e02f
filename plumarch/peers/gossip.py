"""Messages that nodes exchange by gossip.

A heartbeat is a MessagePack datagram with the sender's versions; a peer with older ones requests
the newer over TCP from the same port.

Builds run side by side: fields are only added, at the end and with a default that means absence;
none is removed or changes its type or meaning (docs/design/mixed-builds.md).
"""

from typing import Protocol, cast

import msgspec

from plumarch.config import routing_table
from plumarch.core import decoding, revisions, traffic
from plumarch.peers import suspect_entries

DATAGRAM_LIMIT = 1_400
FRAME_LIMIT = 16 * 1024 * 1024


class Spending(msgspec.Struct, array_like=True, frozen=True):
    """What a node admitted of a workspace's quota since its start.

    Attributes:
      settled: whether its level rests on more than the sender's short lifetime.
      counted: what its data centre's coordinators have counted of it; all where nodes report to
        each other; None from a node that doesn't send it.
      overdrawn: units that the nodes reachable from the sender have less than their share.
    """

    workspace: str
    spent: float
    level: float
    settled: bool
    counted: float | None = None
    overdrawn: float = 0.0


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """A node's running requests and unread prompt tokens at an endpoint."""

    endpoint: str
    running: int
    prompt_tokens: int


class WindowUsage(msgspec.Struct, array_like=True, frozen=True):
    """Requests that began in a window, by workspace, on one node."""

    window: int
    counts: dict[str, int]


class KnownPeer(msgspec.Struct, array_like=True, frozen=True):
    """A node reachable from the sender."""

    name: str
    address: str


class NodeIdentity(msgspec.Struct, array_like=True, frozen=True):
    """A senior of the sender's data centre."""

    name: str
    incarnation: int
    address: str


class EngineSpeed(msgspec.Struct, array_like=True, frozen=True):
    """Speed of a service's engines, as nodes learned it.

    Attributes:
      us_per_token: time to read a prompt token without waiting, in microseconds.
      seen: first tokens that it was learned from.
      nodes: how many learned it.
      units: charged to quotas for what they sent recently, to all services.
      unread: prompt tokens of it that this service's engines were expected to read.
    """

    service: str
    us_per_token: float
    seen: int
    nodes: int
    units: int
    unread: int


class VersionShare(msgspec.Struct, array_like=True, frozen=True):
    """Fraction of a service's requests for a version, by a holder of the duties.

    Attributes:
      state: of the roll-out, for operators.
      token: the holder's fencing token.
      step: number of the decision under the token.
      vetoed: whether a node found the version bad.
    """

    service: str
    version: str
    state: str
    share: float
    token: int
    step: int
    vetoed: bool


class VersionAnswers(msgspec.Struct, array_like=True, frozen=True):
    """Answers of a version on a route since the sender's start, and the bad ones."""

    service: str
    version: str
    route: str
    answers: int
    bad: int


class FragileService(msgspec.Struct, array_like=True, frozen=True):
    """A service whose endpoints crash if they reject too many requests.

    Attributes:
      rejections_per_s: that an endpoint bears.
      age_ms: time since the last answer that announced it.
    """

    service: str
    rejections_per_s: float
    age_ms: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A live node's periodic report.

    Attributes:
      incarnation: start of the process (time of day in ms).
      registry_revision: of the last known change of endpoints; see revision_of.
      token: its fencing token, or 0.
      candidate: whether it could take the duties over.
      reported: the newest usage window that the holder reported, or 0.
      spending: of workspaces with recent changes; sometimes of all.
      reaches_store: whether the platform's store answered the last call.
      sequence: a fleet update acknowledges the last one it includes; 0 in an answer to a node that
        looks for its coordinators.
      seniors: of the sender's data centre, for such nodes.
      nodes: size of the fleet by the sender's own count.
      speeds: in some heartbeats.
      versions: during a roll-out and some time after.
      answers: during a roll-out.
      build: in some heartbeats, never from builds that don't send it.
      opens_tunnels: whether it reaches endpoints and opens tunnels to them for others.
      fragile: services whose endpoints bear few rejections.
      newest_tag: highest tag of the datagrams that it reads; 0 from builds that don't send it.
      store_era: of registry_revision; 0 from builds that don't send it.
      renumbered: what is added to the store's own number in registry_revision.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    leaving: bool
    configuration: int
    registry_revision: int
    token: int
    candidate: bool
    reported: int
    spending: list[Spending] = []
    loads: list[EndpointLoad] = []
    usage: list[WindowUsage] = []
    peers: list[KnownPeer] = []
    reaches_store: bool = True
    sequence: int = 0
    seniors: list[NodeIdentity] = []
    nodes: int = 0
    speeds: list[EngineSpeed] = []
    versions: list[VersionShare] = []
    answers: list[VersionAnswers] = []
    build: str = ""
    opens_tunnels: bool = False
    fragile: list[FragileService] = []
    newest_tag: int = 0
    store_era: int = 0
    renumbered: int = 0


class CentreSpending(msgspec.Struct, array_like=True, frozen=True):
    """What a data centre's nodes admitted, as counted in the summary's ledger.

    Attributes:
      spent: units of the workspace's quota since the ledger began.
      level: units left of the whole fleet's quota, by the sender's count.
      settled: whether the level rests on more than the sender's short lifetime.
      overdrawn: units that the nodes reachable from the sender have less than their share.
    """

    workspace: str
    spent: float
    level: float
    settled: bool
    overdrawn: float = 0.0


class CentreSummary(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A coordinator's summary of its data centre, for coordinators elsewhere.

    Attributes:
      registry_revision: of the last known change of endpoints; see revision_of.
      nodes: size of the data centre.
      reachable_nodes: those reachable from the sender, with itself.
      token: the highest fencing token of a live node, or 0.
      candidate: the most senior live node that could take the duties over; a list of one or none.
      reported: the newest usage window reported, as far as known.
      usage_age_ms: age of its nodes' oldest usage.
      spending: of workspaces with recent changes; sometimes of all.
      loads: of its nodes, heaviest first.
      usage: in some summaries.
      speeds: in some summaries.
      versions: as in heartbeats.
      answers: during a roll-out.
      centres_digest: of data centres reachable from the sender, with its own, or 0.
      sequence: since the sender's start; 0 where it is not sent.
      ledger: the coordinator that began it; a list of one or none.
      tunnel_nodes: in some summaries, nodes of the data centre that open tunnels.
      fragile: as in heartbeats.
      newest_tag: as in heartbeats.
      store_era, renumbered: as in heartbeats.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    configuration: int
    registry_revision: int
    nodes: int
    reachable_nodes: int
    seniors: list[NodeIdentity]
    token: int
    candidate: list[NodeIdentity]
    reported: int
    usage_age_ms: int
    spending: list[CentreSpending]
    loads: list[EndpointLoad]
    usage: list[WindowUsage] = []
    speeds: list[EngineSpeed] = []
    versions: list[VersionShare] = []
    answers: list[VersionAnswers] = []
    centres_digest: int = 0
    sequence: int = 0
    ledger: list[NodeIdentity] = []
    tunnel_nodes: list[KnownPeer] = []
    fragile: list[FragileService] = []
    newest_tag: int = 0
    store_era: int = 0
    renumbered: int = 0


class KnownCentre(msgspec.Struct, array_like=True, frozen=True):
    """A data centre reachable from the sender, and some of its seniors."""

    data_centre: str
    seniors: list[NodeIdentity]


class CentreDirectory(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Nodes reachable from the sender, for one that reaches others; no proof that it is alive.

    Attributes:
      centres: those reachable from the sender, a coordinator.
      peers: all nodes reachable from it, in a small fleet.
    """

    node: str
    centres: list[KnownCentre]
    peers: list[KnownPeer] = []


class ReportedLevel(msgspec.Struct, array_like=True, frozen=True):
    """What is left of a workspace's quota.

    Attributes:
      level: units left over all nodes; negative after a large request.
      share: units left for nodes reachable from the sender.
      settled: whether the level rests on more than the sender's short lifetime.
      spent: units admitted in the data centre, by the update's ledger.
    """

    workspace: str
    level: float
    share: float
    settled: bool
    spent: float = 0.0


class FleetUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A coordinator's report on the fleet for its members.

    Attributes:
      nodes: size of the fleet.
      centre_nodes: size of the own data centre.
      fraction: reachable fraction of the fleet, directly or as reported.
      followers: nodes of the data centre that follow the store.
      levels: of workspaces with recent changes; sometimes of all.
      loads: of all nodes, at endpoints with recent changes; sometimes at all endpoints.
      full: whether endpoints not named have no load.
      versions: as in heartbeats.
      ledger: as in summaries.
      tunnel_nodes: in some updates, nodes that open tunnels.
      fragile: as in heartbeats.
      newest_tag: as in heartbeats.
      store_era, renumbered: as in heartbeats.
    """

    node: str
    incarnation: int
    address: str
    data_centre: str
    configuration: int
    registry_revision: int
    nodes: int
    centre_nodes: int
    fraction: float
    seniors: list[NodeIdentity]
    followers: list[str]
    levels: list[ReportedLevel]
    loads: list[EndpointLoad]
    full: bool
    versions: list[VersionShare] = []
    ledger: list[NodeIdentity] = []
    tunnel_nodes: list[KnownPeer] = []
    fragile: list[FragileService] = []
    newest_tag: int = 0
    store_era: int = 0
    renumbered: int = 0


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A fleet update for one member.

    Attributes:
      acknowledged: sequence of the member's last heartbeat or notice in it, or 0.
      update: encoded once for all members.
    """

    acknowledged: int
    update: msgspec.Raw


class LoadNotice(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A node's load at an endpoint, sent at once after a long prompt.

    Attributes:
      incarnation: a notice of another one than in its heartbeats is dropped.
      load: the node's complete load there.
      sequence: counted with the heartbeats.
      workspace: whose quota was charged, or "".
      spent: units of it admitted since the node's start.
    """

    node: str
    incarnation: int
    load: EndpointLoad
    sequence: int = 0
    workspace: str = ""
    spent: float = 0.0


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """What a node learned of suspects; sent at once, and again."""

    node: str
    suspects: list[suspect_entries.ReportedSuspect]


class PermitRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Requests permits for an endpoint that announces a request rate, or reports the rate.

    Attributes:
      address: for the answer.
      endpoint: the incarnation.
      data_centre: the endpoint's; its senior node allocates the permits.
      sequence: by node and endpoint; the answer repeats it.
      count: permits wanted; 0 for a report.
      per_s: the last announced rate; a list of one, or of none without a limit.
      age_ms: age of the announcement.
      hops: nodes that forwarded the message.
    """

    node: str
    address: str
    endpoint: str
    data_centre: str
    sequence: int
    count: int
    per_s: list[float]
    age_ms: int
    hops: int = 0


class PermitAnswer(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Answers a PermitRequest.

    Attributes:
      permits: requests that may be sent.
      per_s: the newest known rate, as in PermitRequest.
      next_ms: time until the next permit.
      wait_ms: time after which a caller may expect one.
      contenders: nodes that compete for the permits.
    """

    endpoint: str
    sequence: int
    permits: int
    per_s: list[float]
    age_ms: int
    next_ms: int = 0
    wait_ms: int = 0
    contenders: int = 0


class RateUpdate(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Start, change or end of an endpoint's announced request rate; broadcast once.

    Attributes:
      endpoint: the incarnation.
      per_s: as in PermitRequest.
      age_ms: age of the announcement.
    """

    node: str
    endpoint: str
    per_s: list[float]
    age_ms: int


class SlotRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Requests slots of an endpoint that bears few rejections, or returns them.

    Attributes:
      address: for the answer.
      endpoint: the incarnation.
      data_centre: the endpoint's; its senior node leases the slots.
      sequence: by node and endpoint; the answer repeats it.
      running: the node's requests there.
      wanted: slots wanted beyond them.
      rejected: requests rejected since the node's last message.
      slots: of the endpoint, as listed.
      rejections_per_s: that the endpoint bears.
      hops: nodes that forwarded the message.
    """

    node: str
    address: str
    endpoint: str
    data_centre: str
    sequence: int
    running: int
    wanted: int
    rejected: int
    slots: int
    rejections_per_s: float
    hops: int = 0


class SlotAnswer(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Answers a SlotRequest.

    Attributes:
      granted: slots leased to the node, those in use included.
    """

    endpoint: str
    sequence: int
    granted: int


class ReportedStreams(msgspec.Struct, array_like=True, frozen=True):
    """Streams that began at one software version of a service.

    Attributes:
      version: a list of one; of none if the origin is in doubt.
      attempts: hash of each stream's first attempt, or 0.
      fingerprints: hash of each stream's request, in the same order.
    """

    service: str
    version: list[str]
    attempts: list[int]
    fingerprints: list[int]


class StreamReport(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Where streams began that a node relays, or relayed lately.

    Attributes:
      data_centre: the node's.
      hops: nodes that forwarded the message.
    """

    node: str
    data_centre: str
    streams: list[ReportedStreams]
    hops: int = 0


class OriginRequest(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Asks where a stream began.

    Attributes:
      address: for the answer.
      route: of the resumption.
      attempt: hash of the stream's first attempt, or 0.
      fingerprint: hash of its request.
      hops: nodes that forwarded the message.
    """

    address: str
    service: str
    route: str
    attempt: int
    fingerprint: int
    hops: int = 0


class OriginAnswer(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Answers an OriginRequest.

    Attributes:
      attempt: as in the request.
      fingerprint: as in the request.
      found: one entry if the sender knows where the stream began, or of contradicting reports.
      forwarded: nodes that the request was forwarded to and that answer themselves.
    """

    attempt: int
    fingerprint: int
    found: list[ReportedStreams]
    forwarded: int = 0


class RecordRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Asks a node to record in the store where streams began."""

    node: str
    streams: list[ReportedStreams]


SLOT_REQUEST_TAG = 10
ORIGIN_REQUEST_TAG = 13
RECORD_REQUEST_TAG = 15
NEWEST_TAG = RECORD_REQUEST_TAG
"""Highest tag of the datagrams that this build reads."""


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests what is newer than the sender's versions.

    Attributes:
      accepts_parts: whether the answer may be a Snapshot; builds that omit it accept one format or
        the other.
      store_era, renumbered: as in heartbeats.
    """

    configuration: int
    registry_revision: int
    accepts_compressed: bool = False
    accepts_parts: bool = False
    store_era: int = 0
    renumbered: int = 0


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """What is newer, in separately decodable elements.

    Attributes:
      configuration: an encoded routing_table.Configuration; a list of one or none.
      endpoints: all, an encoded traffic.Endpoint each.
      with_endpoints: whether they are newer; else none are sent.
      store_era, renumbered: as in heartbeats.
    """

    node: str
    configuration: list[msgspec.Raw]
    endpoints: list[msgspec.Raw]
    with_endpoints: bool
    registry_revision: int
    store_era: int = 0
    renumbered: int = 0


class FullSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What is newer, for earlier builds; None for what is not."""

    node: str
    configuration: routing_table.Configuration | None
    endpoints: tuple[traffic.Endpoint, ...] | None
    registry_revision: int


class ReportedRevision(Protocol):
    """A sender's revision of the endpoints."""

    @property
    def registry_revision(self) -> int:
        """Return the renumbered revision."""
        ...

    @property
    def store_era(self) -> int:
        """Return the store's era of that revision, or 0 if unknown."""
        ...

    @property
    def renumbered(self) -> int:
        """Return what is added to the store's own number in it."""
        ...


class Versions(ReportedRevision, Protocol):
    """A sender's versions of configuration and endpoints."""

    @property
    def configuration(self) -> int:
        """Return the configuration's version, or -1."""
        ...


def revision_of(reported: ReportedRevision) -> int:
    """Return the revision that a sender reports.

    The number that is sent rises also when the store begins a new era and counts from a lower one,
    for builds that compare just this number.
    """
    return revisions.of(reported.store_era, reported.registry_revision - reported.renumbered)


Datagram = (
    Heartbeat
    | LoadNotice
    | CentreSummary
    | MemberUpdate
    | CentreDirectory
    | SuspectUpdate
    | PermitRequest
    | PermitAnswer
    | RateUpdate
    | SlotRequest
    | SlotAnswer
    | StreamReport
    | OriginRequest
    | OriginAnswer
    | RecordRequest
)


def tag_of(datagram: Datagram) -> int:
    """Return the tag of a datagram's kind."""
    return cast(int, datagram.__struct_config__.tag)


encoder = msgspec.msgpack.Encoder()
datagram_decoder = msgspec.msgpack.Decoder(Datagram)
fleet_update_decoder = msgspec.msgpack.Decoder(FleetUpdate)
request_decoder = msgspec.msgpack.Decoder(SnapshotRequest)
configuration_decoder = msgspec.msgpack.Decoder(routing_table.Configuration)
endpoint_decoder = msgspec.msgpack.Decoder(traffic.Endpoint)
snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
full_snapshot_decoder = msgspec.msgpack.Decoder(FullSnapshot)


def decode_snapshot(encoded: bytes) -> Snapshot:
    """Decode a Snapshot, or an earlier build's FullSnapshot.

    Raises:
      msgspec.DecodeError: it can't be decoded.
    """
    try:
        return decoding.message(snapshot_decoder, encoded)
    except msgspec.DecodeError:
        full = decoding.message(full_snapshot_decoder, encoded)
    return Snapshot(
        full.node,
        [raw(full.configuration)] if full.configuration is not None else [],
        [raw(one) for one in full.endpoints or ()],
        full.endpoints is not None,
        full.registry_revision,
    )


def raw(value: object) -> msgspec.Raw:
    """Encode a message's element."""
    return msgspec.Raw(encoder.encode(value))
