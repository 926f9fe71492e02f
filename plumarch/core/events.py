"""Events into and actions out of a node's decision logic, which does no I/O."""

import dataclasses
import enum

from plumarch.core import data, messages

# Events.


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer, every TICK_MS milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A caller's request arrived.

    Attributes:
      position: tokens that the caller already has (Last-Event-ID).
    """

    watcher_id: str
    request: data.Request
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """A caller resumes reading a request by its key."""

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
    """A caller cancels a request by its key."""

    workspace: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from a node, possibly this one."""

    sender: str
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointTokens:
    """Tokens from an engine, starting at position."""

    request_id: str
    attempt: int
    position: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDone:
    """An endpoint completed an attempt.

    Attributes:
      recomputed: tokens of prompt and answer computed again.
    """

    request_id: str
    attempt: int
    reply: data.Reply
    recomputed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """An endpoint call failed.

    Attributes:
      delivered: False only if no byte was written.
      broken: whether the connection broke, as in a crash.
      backoff_ms: backoff requested by the endpoint; 0 if none.
    """

    request_id: str
    attempt: int
    delivered: bool
    why: str
    broken: bool = False
    backoff_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRate:
    """The head of an endpoint's answer arrived.

    Attributes:
      per_s: announced limit on requests per second from all nodes, or None.
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
    """The answer to a CloudOrder."""

    call_id: int
    status: CloudStatus
    name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OffersSeen:
    """The cloud's current VM offers."""

    offers: tuple[data.Offer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsSeen:
    """The platform's list of endpoints, possibly stale."""

    endpoints: tuple[data.Endpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSeen:
    """An engine's load report arrived."""

    report: data.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """The cloud will reclaim VMs (endpoints or nodes) after left_ms."""

    names: tuple[str, ...]
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodesGone:
    """Node incarnations gone from the platform's list."""

    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigSeen:
    """A configuration read from the platform."""

    revision: int
    manifest: dict[str, str]
    documents: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StopAsked:
    """A planned shutdown begins."""


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
    """Send a message to a node, without delivery guarantee."""

    node: str
    message: messages.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Dispatch a request to an endpoint.

    Attributes:
      tokens: tokens so far, after which the endpoint continues.
      import_from: endpoint that can export the request's KV cache, or "".
      fencing_token: epoch of the slot that granted the request; 0 if none.
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
    """Abort an attempt at its endpoint."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformGet:
    """Read an object."""

    call_id: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformPut:
    """Write an object if its version matches; 0 if it must not exist."""

    call_id: int
    name: str
    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CloudOrder:
    """Start a VM for a target, or release one by name.

    Attributes:
      token: idempotency token.
      fencing_token: epoch of the deciding node; the cloud rejects lower ones.
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
    """Notify a caller of acceptance under a key."""

    watcher_id: str
    request_id: str
    key: str
    weakened: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TellTokens:
    """Send a caller tokens, starting at position."""

    watcher_id: str
    request_id: str
    position: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TellEnd:
    """Send the final answer; retry_after_ms is 0 if a retry is pointless."""

    watcher_id: str
    request_id: str
    outcome: data.Outcome
    reason: str = ""
    reply: data.Reply | None = None
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Record a decision."""

    decision: data.Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Increment a counter."""

    name: str
    workspace: str = ""
    label: str = ""
    amount: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Add milliseconds to a histogram."""

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
