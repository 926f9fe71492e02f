"""Heartbeats and notices between the nodes of a fleet, and what they carry.

A heartbeat is one MessagePack datagram. It names the versions that a node holds; a peer that
holds older ones fetches the newer ones over TCP from the same port.

Builds run side by side while VMs are replaced, so what one tells another reads: fields are added at
the end of a message only, with a default that says what their absence means, and none is taken out
or gets another type or meaning (docs/design/mixed-builds.md).
"""

from typing import Protocol

import msgspec

from plumarch.config import routing_table
from plumarch.core import traffic
from plumarch.peers import suspect_entries

DATAGRAM_LIMIT = 1_400
FRAME_LIMIT = 16 * 1024 * 1024


class Spending(msgspec.Struct, array_like=True, frozen=True):
    """What a node admitted of a workspace's allotment since its start, and its level.

    The level is settled if it rests on more than the sender's own short life.

    Attributes:
      counted: the part of what it admitted that its data centre's coordinators are known to have
        counted; all of it where each node tells each other one, or None from a node that doesn't
        tell.
      overdrawn: units by which the nodes that the sender hears have less left than their share.
    """

    workspace: str
    spent: float
    level: float
    settled: bool
    counted: float | None = None
    overdrawn: float = 0.0


class EndpointLoad(msgspec.Struct, array_like=True, frozen=True):
    """What a node has at an endpoint: requests running, prompt tokens not read."""

    endpoint: str
    running: int
    prompt_tokens: int


class WindowUsage(msgspec.Struct, array_like=True, frozen=True):
    """Requests that began in a window, by workspace, as one node counted them."""

    window: int
    counts: dict[str, int]


class KnownPeer(msgspec.Struct, array_like=True, frozen=True):
    """A node that the sender hears."""

    name: str
    address: str


class NodeIdentity(msgspec.Struct, array_like=True, frozen=True):
    """One of the oldest live nodes of the sender's data centre."""

    name: str
    incarnation: int
    address: str


class EngineSpeed(msgspec.Struct, array_like=True, frozen=True):
    """How fast the engines of a service are, as one or several nodes learned it.

    Attributes:
      us_per_token: time to read a prompt token where nothing waits, in microseconds.
      seen: first tokens by which it was learned.
      nodes: how many nodes learned it.
      units: charged to allotments for what these nodes sent lately, to all services.
      unread: prompt tokens of it that engines of this service were expected to read.
    """

    service: str
    us_per_token: float
    seen: int
    nodes: int
    units: int
    unread: int


class VersionShare(msgspec.Struct, array_like=True, frozen=True):
    """Which part of a service's requests a version gets, as a holder of the duties decided.

    Attributes:
      state: how far the roll-out is, as operators are told.
      token: the holder's fencing token.
      step: number of the decision under it.
      vetoed: whether some node saw that the version is bad.
    """

    service: str
    version: str
    state: str
    share: float
    token: int
    step: int
    vetoed: bool


class VersionAnswers(msgspec.Struct, array_like=True, frozen=True):
    """Answers of a version on a route since the sender's start, and how many were bad."""

    service: str
    version: str
    route: str
    answers: int
    bad: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A sign of life.

    Attributes:
      incarnation: time of day at which the process started, in ms.
      registry_revision: of the last change of endpoints that the sender knows.
      token: the fencing token under which it holds the duties, or 0.
      candidate: whether it could take the duties over now.
      reported: the newest usage window that the holder reported, or 0.
      spending: of the workspaces in which it changed lately, in some heartbeats of all.
      reaches_store: whether the platform's store answered the sender's last call.
      sequence: number of the heartbeat; a coordinator's news names the last one it took in. 0 for
        an answer to a node that looks for its coordinators.
      seniors: the oldest live nodes of the sender's data centre, for nodes that look for its
        coordinators.
      nodes: how many nodes there may be in the fleet, as the sender counts by itself.
      speeds: what the sender learned of engines; in some heartbeats.
      versions: the shares of versions, while a roll-out runs and some time after.
      answers: of versions on the sender, while a roll-out runs.
      build: of the sender; in some heartbeats, never from builds that don't tell.
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
    """What the nodes of a data centre admitted, as the sender counted in the summary's ledger.

    Attributes:
      spent: units of the workspace's allotment since the ledger was begun.
      level: units left of the whole fleet's allotment, as the sender believes.
      settled: whether the level rests on more than the sender's own short life.
      overdrawn: units by which the nodes that the sender hears have less left than their share.
    """

    workspace: str
    spent: float
    level: float
    settled: bool
    overdrawn: float = 0.0


class CentreSummary(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """What a coordinator tells those of other data centres of its own one.

    Attributes:
      registry_revision: of the last change of endpoints that the sender knows.
      nodes: how many nodes there may be.
      reachable_nodes: how many of them the sender hears, itself included.
      token: the highest fencing token that a live node holds, or 0.
      candidate: the oldest live node that could take the duties over, as a list of one or none.
      reported: the newest usage window reported, as far as known.
      usage_age_ms: how old the oldest of its nodes' news is.
      spending: of workspaces in which it changed lately, in some summaries of all.
      loads: at all endpoints where its nodes have requests, the heaviest first.
      usage: requests that began on its nodes; in some summaries.
      speeds: what its nodes learned of engines; in some summaries.
      versions: the shares of versions, as in heartbeats.
      answers: of versions on its nodes, while a roll-out runs.
      centres_digest: digest of the data centres that the sender hears, its own included, or 0.
      sequence: number of the summary since the sender's start; 0 where it is not told.
      ledger: the coordinator that began to count what is told as spent, as a list of one or none.
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
    """A data centre that the sender hears, and some of its oldest live nodes."""

    data_centre: str
    seniors: list[NodeIdentity]


class CentreDirectory(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Whom a node hears, for one that hears others; no sign of life, since it has no figures.

    Attributes:
      centres: data centres that the sender, a coordinator, hears.
      peers: all nodes that it hears, where the fleet is a small one.
    """

    node: str
    centres: list[KnownCentre]
    peers: list[KnownPeer] = []


class ReportedLevel(msgspec.Struct, array_like=True, frozen=True):
    """What is left of a workspace's allotment.

    Attributes:
      level: units left over all nodes; negative after a large request.
      part: units left for the nodes that the sender hears.
      settled: whether the level rests on more than the sender's own short life.
      spent: what the nodes of the data centre admitted, as counted in the news' ledger.
    """

    workspace: str
    level: float
    share: float
    settled: bool
    spent: float = 0.0


class FleetUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a coordinator tells the members of its data centre, of the whole fleet.

    Attributes:
      nodes: how many nodes there may be in the fleet.
      centre_nodes: how many of them are in the own data centre.
      fraction: the part of them that the sender hears or is told to be heard.
      followers: names of those nodes of the data centre that follow the store.
      levels: of workspaces in which something changed lately, in some news of all.
      loads: at endpoints where something changed lately, in some news at all, from all nodes.
      full: whether endpoints that are not named have no load.
      versions: the shares of versions, as in heartbeats.
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
    """News as one member gets them.

    Attributes:
      acknowledged: sequence of the last heartbeat or notice of the member that the figures hold,
        or 0.
      update: a FleetUpdate, encoded once for all members.
    """

    acknowledged: int
    update: msgspec.Raw


class LoadNotice(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """What a node sent to an endpoint, told at once if it is a long prompt.

    Attributes:
      incarnation: as in its heartbeats; a notice of another one is dropped.
      load: the node's whole load there.
      sequence: number of the notice, counted with the heartbeats.
      workspace: the one whose allotment was charged, or "".
      spent: units that the node admitted of it since its start.
    """

    node: str
    incarnation: int
    load: EndpointLoad
    sequence: int = 0
    workspace: str = ""
    spent: float = 0.0


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """What a node learned of requests under which endpoints ended; told at once, and again."""

    node: str
    suspects: list[suspect_entries.ReportedSuspect]


class PermitRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Asks for permits to send to an endpoint that announces a request rate, or reports the rate.

    Attributes:
      address: where the answer is sent.
      endpoint: the incarnation.
      data_centre: the endpoint's, whose senior node allocates its permits.
      sequence: of this message on its node and for this endpoint; the answer repeats it.
      count: permits wanted; 0 for a report.
      per_s: the rate that was announced last, as a list of one, or of none if there is none.
      age_ms: how long ago that was.
      hops: nodes that passed the message on.
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
      per_s: the newest rate that is known, as in PermitRequest.
      next_ms: when the next permit will be there.
      wait_ms: when a caller may expect one.
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
    """A request rate that an endpoint announces from now on, or no longer; broadcast once.

    Attributes:
      endpoint: the incarnation.
      per_s: as in PermitRequest.
      age_ms: how long ago it was announced.
    """

    node: str
    endpoint: str
    per_s: list[float]
    age_ms: int


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for what is newer than what the requesting node holds.

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
    """What is newer; each part can be read by itself.

    Attributes:
      configuration: a routing_table.Configuration, encoded, as a list of one or none.
      endpoints: all endpoints, a traffic.Endpoint each, encoded.
      with_endpoints: whether these are newer than what the asking node holds; else none are told.
    """

    node: str
    configuration: list[msgspec.Raw]
    endpoints: list[msgspec.Raw]
    with_endpoints: bool
    registry_revision: int


class FullSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What is newer, as earlier builds tell and take it; None for what is not."""

    node: str
    configuration: routing_table.Configuration | None
    endpoints: tuple[traffic.Endpoint, ...] | None
    registry_revision: int


class Versions(Protocol):
    """What says which configuration and endpoints its sender knows."""

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
    """Return a snapshot.

    Raises:
      msgspec.DecodeError: it can't be read.
    """
    try:
        return snapshot_decoder.decode(encoded)
    except msgspec.DecodeError:
        told = full_snapshot_decoder.decode(encoded)
    return Snapshot(
        told.node,
        [raw(told.configuration)] if told.configuration is not None else [],
        [raw(one) for one in told.endpoints or ()],
        told.endpoints is not None,
        told.registry_revision,
    )


def raw(value: object) -> msgspec.Raw:
    """Return a part of a message, encoded by itself."""
    return msgspec.Raw(encoder.encode(value))
