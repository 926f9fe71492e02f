"""Messages that the nodes of a fleet exchange by gossip.

A heartbeat is one MessagePack datagram with the versions that a node has; a peer with older ones
requests the newer ones over TCP from the same port.

Builds run side by side while VMs are replaced: fields are only added, at the end of a message and
with a default that means absence; none is removed or changes its type or meaning
(docs/design/mixed-builds.md).
"""

from typing import Protocol

import msgspec

from plumarch.config import routing_table
from plumarch.core import traffic
from plumarch.peers import suspect_entries

DATAGRAM_LIMIT = 1_400
FRAME_LIMIT = 16 * 1024 * 1024


class Spending(msgspec.Struct, array_like=True, frozen=True):
    """What a node admitted of a workspace's quota since its start, and its level.

    Attributes:
      settled: whether the level rests on more than the sender's short lifetime.
      counted: the portion of its admissions that its data centre's coordinators have counted; all
        of it where nodes report to each other directly; None from a node that doesn't send it.
      overdrawn: units by which the nodes reachable from the sender have less left than their share.
    """

    workspace: str
    spent: float
    level: float
    settled: bool
    counted: float | None = None
    overdrawn: float = 0.0


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """A node's load at an endpoint: running requests, unread prompt tokens."""

    endpoint: str
    running: int
    prompt_tokens: int


class WindowUsage(msgspec.Struct, array_like=True, frozen=True):
    """Requests that began in a window, by workspace, as counted by one node."""

    window: int
    counts: dict[str, int]


class KnownPeer(msgspec.Struct, array_like=True, frozen=True):
    """A node that is reachable from the sender."""

    name: str
    address: str


class NodeIdentity(msgspec.Struct, array_like=True, frozen=True):
    """One of the seniors of the sender's data centre."""

    name: str
    incarnation: int
    address: str


class EngineSpeed(msgspec.Struct, array_like=True, frozen=True):
    """Speed of a service's engines, as learned by one or several nodes.

    Attributes:
      us_per_token: time to read a prompt token without waiting, in microseconds.
      seen: number of first tokens that it was learned from.
      nodes: number of nodes that learned it.
      units: charged to quotas for what these nodes sent recently, to all services.
      unread: prompt tokens of it that engines of this service were expected to read.
    """

    service: str
    us_per_token: float
    seen: int
    nodes: int
    units: int
    unread: int


class VersionShare(msgspec.Struct, array_like=True, frozen=True):
    """Fraction of a service's requests that a version gets, as decided by a holder of the duties.

    Attributes:
      state: of the roll-out, as reported to operators.
      token: the holder's fencing token.
      step: number of the decision under it.
      vetoed: whether a node found the version to be bad.
    """

    service: str
    version: str
    state: str
    share: float
    token: int
    step: int
    vetoed: bool


class VersionAnswers(msgspec.Struct, array_like=True, frozen=True):
    """Answers of a version on a route since the sender's start, and the bad ones among them."""

    service: str
    version: str
    route: str
    answers: int
    bad: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Periodic report of a live node.

    Attributes:
      incarnation: time of day at which the process started, in ms.
      registry_revision: of the last change of endpoints that the sender knows.
      token: the fencing token under which it holds the duties, or 0.
      candidate: whether it could take the duties over now.
      reported: the newest usage window that the holder reported, or 0.
      spending: of the workspaces in which it changed recently; in some heartbeats of all.
      reaches_store: whether the platform's store answered the sender's last call.
      sequence: number of the heartbeat; a fleet update acknowledges the last one it includes. 0 in
        an answer to a node that looks for its coordinators.
      seniors: of the sender's data centre, for nodes that look for its coordinators.
      nodes: how many nodes there may be in the fleet, by the sender's own count.
      speeds: what the sender learned of engines; in some heartbeats.
      versions: the fractions of versions, during a roll-out and some time after.
      answers: of versions on the sender, during a roll-out.
      build: of the sender; in some heartbeats, never from builds that don't send it.
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


class CentreSpending(msgspec.Struct, array_like=True, frozen=True):
    """What the nodes of a data centre admitted, as counted by the sender in the summary's ledger.

    Attributes:
      spent: units of the workspace's quota since the ledger was begun.
      level: units left of the whole fleet's quota, by the sender's count.
      settled: whether the level rests on more than the sender's short lifetime.
      overdrawn: units by which the nodes reachable from the sender have less left than their share.
    """

    workspace: str
    spent: float
    level: float
    settled: bool
    overdrawn: float = 0.0


class CentreSummary(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A coordinator's summary of its data centre, for those of other data centres.

    Attributes:
      registry_revision: of the last change of endpoints that the sender knows.
      nodes: how many nodes there may be.
      reachable_nodes: how many of them are reachable from the sender, including itself.
      token: the highest fencing token that a live node holds, or 0.
      candidate: the most senior live node that could take the duties over, as a list of one or
        none.
      reported: the newest usage window reported, as far as known.
      usage_age_ms: age of the oldest usage among its nodes' reports.
      spending: of workspaces in which it changed recently; in some summaries of all.
      loads: at all endpoints where its nodes have requests, the heaviest first.
      usage: requests that began on its nodes; in some summaries.
      speeds: what its nodes learned of engines; in some summaries.
      versions: the fractions of versions, as in heartbeats.
      answers: of versions on its nodes, during a roll-out.
      centres_digest: digest of the data centres reachable from the sender, with its own, or 0.
      sequence: number of the summary since the sender's start; 0 where it is not sent.
      ledger: the coordinator that began the count of spending, as a list of one or none.
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


class KnownCentre(msgspec.Struct, array_like=True, frozen=True):
    """A data centre that is reachable from the sender, and some of its seniors."""

    data_centre: str
    seniors: list[NodeIdentity]


class CentreDirectory(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Nodes reachable from the sender, for a node that reaches others; no proof that it is alive.

    Attributes:
      centres: data centres reachable from the sender, a coordinator.
      peers: all nodes reachable from it, in a small fleet.
    """

    node: str
    centres: list[KnownCentre]
    peers: list[KnownPeer] = []


class ReportedLevel(msgspec.Struct, array_like=True, frozen=True):
    """What is left of a workspace's quota.

    Attributes:
      level: units left over all nodes; negative after a large request.
      share: units left for the nodes reachable from the sender.
      settled: whether the level rests on more than the sender's short lifetime.
      spent: what the nodes of the data centre admitted, as counted in the update's ledger.
    """

    workspace: str
    level: float
    share: float
    settled: bool
    spent: float = 0.0


class FleetUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A coordinator's report on the whole fleet for the members of its data centre.

    Attributes:
      nodes: how many nodes there may be in the fleet.
      centre_nodes: how many of them are in the own data centre.
      fraction: the fraction of them that is reachable, directly or as reported.
      followers: names of the data centre's nodes that follow the store.
      levels: of workspaces in which something changed recently; in some updates of all.
      loads: at endpoints where something changed recently; in some updates at all, from all nodes.
      full: whether endpoints that are not named have no load.
      versions: the fractions of versions, as in heartbeats.
      ledger: as in summaries.
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


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A fleet update as sent to one member.

    Attributes:
      acknowledged: sequence of the member's last heartbeat or notice that the update includes,
        or 0.
      update: a FleetUpdate, encoded once for all members.
    """

    acknowledged: int
    update: msgspec.Raw


class LoadNotice(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A node's load at an endpoint, sent at once after a long prompt.

    Attributes:
      incarnation: as in its heartbeats; a notice of another one is dropped.
      load: the node's complete load there.
      sequence: number of the notice, counted with the heartbeats.
      workspace: the one whose quota was charged, or "".
      spent: units of it that the node admitted since its start.
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
      address: where the answer is sent.
      endpoint: the incarnation.
      data_centre: the endpoint's, whose senior node allocates its permits.
      sequence: of this message on its node and for this endpoint; the answer repeats it.
      count: permits wanted; 0 for a report.
      per_s: the last announced rate, as a list of one, or of none without a limit.
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
      permits: how many requests may be sent.
      per_s: the newest known rate, as in PermitRequest.
      next_ms: time until the next permit is available.
      wait_ms: time after which a caller may expect one.
      contenders: nodes that compete for the endpoint's permits.
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
    """The start, change or end of an endpoint's announced request rate; broadcast once.

    Attributes:
      endpoint: the incarnation.
      per_s: as in PermitRequest.
      age_ms: age of the announcement.
    """

    node: str
    endpoint: str
    per_s: list[float]
    age_ms: int


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests what is newer than what the sender has.

    Attributes:
      accepts_compressed: whether the answer may be compressed.
      accepts_parts: whether the answer may be a Snapshot. Builds that omit the field accept a
        Snapshot or a FullSnapshot, depending on the build.
    """

    configuration: int
    registry_revision: int
    accepts_compressed: bool = False
    accepts_parts: bool = False


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """What is newer, in elements that can be decoded separately.

    Attributes:
      configuration: a routing_table.Configuration, encoded, as a list of one or none.
      endpoints: all endpoints, an encoded traffic.Endpoint each.
      with_endpoints: whether these are newer than what the requesting node has; else none are sent.
    """

    node: str
    configuration: list[msgspec.Raw]
    endpoints: list[msgspec.Raw]
    with_endpoints: bool
    registry_revision: int


class FullSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What is newer, as earlier builds send and accept it; None for what is not."""

    node: str
    configuration: routing_table.Configuration | None
    endpoints: tuple[traffic.Endpoint, ...] | None
    registry_revision: int


class Versions(Protocol):
    """The versions of configuration and endpoints that a message's sender has."""

    @property
    def configuration(self) -> int:
        """Return the version of the configuration, or -1."""
        ...

    @property
    def registry_revision(self) -> int:
        """Return the revision of the last change of endpoints."""
        ...


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
)

encoder = msgspec.msgpack.Encoder()
datagram_decoder = msgspec.msgpack.Decoder(Datagram)
fleet_update_decoder = msgspec.msgpack.Decoder(FleetUpdate)
request_decoder = msgspec.msgpack.Decoder(SnapshotRequest)
configuration_decoder = msgspec.msgpack.Decoder(routing_table.Configuration)
endpoint_decoder = msgspec.msgpack.Decoder(traffic.Endpoint)
snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
full_snapshot_decoder = msgspec.msgpack.Decoder(FullSnapshot)


def decode_snapshot(encoded: bytes) -> Snapshot:
    """Decode a Snapshot, or a FullSnapshot of an earlier build.

    Raises:
      msgspec.DecodeError: it can't be decoded.
    """
    try:
        return snapshot_decoder.decode(encoded)
    except msgspec.DecodeError:
        full = full_snapshot_decoder.decode(encoded)
    return Snapshot(
        full.node,
        [raw(full.configuration)] if full.configuration is not None else [],
        [raw(one) for one in full.endpoints or ()],
        full.endpoints is not None,
        full.registry_revision,
    )


def raw(value: object) -> msgspec.Raw:
    """Encode a value as an element of a message."""
    return msgspec.Raw(encoder.encode(value))
