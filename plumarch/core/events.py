"""What goes into a node's decisions (events) and what comes out (actions).

The shell of a node turns sockets into events and actions into calls; a harness
does the same without sockets.
"""

import dataclasses
import enum

from plumarch.core import data, messages

# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due every TICK_MS milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A caller's request came in.

    Attributes:
      watcher_id: names the caller's connection.
      position: how many tokens of the answer the caller has already (Last-Event-ID).
    """

    watcher_id: str
    request: data.Request
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """A caller asks for the rest of a request that it names by its key."""

    watcher_id: str
    workspace: str
    key: str
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller's connection closed."""

    watcher_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAsked:
    """A caller cancels the request that it named by its key."""

    workspace: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node (or from this one to itself)."""

    sender: str
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointTokens:
    """Tokens from an engine; position is that of the first."""

    request_id: str
    attempt: int
    position: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDone:
    """An endpoint finished an attempt.

    Attributes:
      recomputed: tokens (context and generated) that were computed again for it.
    """

    request_id: str
    attempt: int
    reply: data.Reply
    recomputed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """An endpoint call failed.

    Attributes:
      delivered: False only if no byte of it was written.
      broken: whether its connection broke, as it does when the endpoint ends.
      rest_ms: how long the endpoint wants nothing more from this node; 0 if it doesn't say.
    """

    request_id: str
    attempt: int
    delivered: bool
    why: str
    broken: bool = False
    rest_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRate:
    """The head of an endpoint's answer came.

    Attributes:
      per_s: the requests a second that the endpoint takes from all nodes together, or None if it
        announces no such rate.
    """

    request_id: str
    attempt: int
    per_s: float | None


class PlatformStatus(enum.StrEnum):
    """How a platform call ended."""

    OK = "ok"
    CONFLICT = "conflict"
    ABSENT = "absent"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """The answer to a PlatformGet or PlatformPut."""

    call_id: int
    status: PlatformStatus
    version: int = 0
    value: bytes = b""


class CloudStatus(enum.StrEnum):
    """How an order to the cloud ended."""

    DONE = "done"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class CloudAnswer:
    """The answer to a CloudOrder; name is that of a started VM."""

    call_id: int
    status: CloudStatus
    name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OffersSeen:
    """What the cloud sells now, and at which price."""

    offers: tuple[data.Offer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsSeen:
    """The platform's list of endpoint VMs, which lags."""

    endpoints: tuple[data.Endpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSeen:
    """A load report of an engine."""

    report: data.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """The cloud takes VMs away after a time; names may be endpoints or entry nodes."""

    names: tuple[str, ...]
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodesGone:
    """The platform's list says that these node incarnations no longer exist."""

    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigSeen:
    """A configuration read from the platform."""

    revision: int
    manifest: dict[str, str]
    documents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """A planned stop begins."""


Event = (
    Tick
    | Arrived
    | Attach
    | CallerGone
    | CancelAsked
    | PeerMessage
    | EndpointTokens
    | EndpointDone
    | EndpointFailed
    | EndpointRate
    | PlatformAnswer
    | CloudAnswer
    | OffersSeen
    | EndpointsSeen
    | LoadSeen
    | ReclaimNotice
    | NodesGone
    | ConfigSeen
    | StopAsked
)

# Actions.


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a node; it may get lost."""

    node: str
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Give a request to an endpoint.

    Attributes:
      tokens: those made so far; the endpoint continues after them.
      import_from: address of an endpoint that can export the request's KV cache, or "".
      fencing_token: epoch of the slot that granted it; 0 if it has none.
    """

    request: data.Request
    attempt: int
    endpoint: data.Endpoint
    tokens: tuple[str, ...] = ()
    import_from: str = ""
    import_attempt: int = 0
    fencing_token: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Cancel an attempt at its endpoint."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformGet:
    """Read an object."""

    call_id: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformPut:
    """Write an object if its version is the expected one (0: it must not exist)."""

    call_id: int
    name: str
    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloudOrder:
    """Start a VM for a target, or release one by name.

    Attributes:
      token: makes a repeated order the same order.
      fencing_token: epoch of whoever decides; the cloud refuses lower ones.
    """

    call_id: int
    token: str
    start: bool
    name: str
    target: str
    data_centre: str
    vm_class: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class TellAccepted:
    """Tell a caller that its request is accepted under a key, before it runs."""

    watcher_id: str
    request_id: str
    key: str
    weakened: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TellTokens:
    """Tell a caller tokens; position is that of the first."""

    watcher_id: str
    request_id: str
    position: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TellEnd:
    """Tell a caller the final answer. retry_after_ms is 0 if asking again is no use."""

    watcher_id: str
    request_id: str
    outcome: data.Outcome
    reason: str = ""
    reply: data.Reply | None = None
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Keep a decision for those who watch."""

    decision: data.Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Count something in the metrics."""

    name: str
    workspace: str = ""
    label: str = ""
    amount: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Put a duration in milliseconds into a histogram of the metrics."""

    name: str
    workspace: str
    request_class: data.RequestClass
    value_ms: float


Action = (
    Send
    | HandOver
    | Abort
    | PlatformGet
    | PlatformPut
    | CloudOrder
    | TellAccepted
    | TellTokens
    | TellEnd
    | Note
    | Count
    | Observe
)
