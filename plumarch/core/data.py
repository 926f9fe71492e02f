"""The types that all parts share. Plain immutable records; this module depends on nothing."""

import dataclasses
import enum


class RequestClass(enum.StrEnum):
    """How urgent a request is. The order of the members is the order of service."""

    LOOKUP = "lookup"
    CHAT = "chat"
    DRAFT = "draft"
    REVIEW = "review"


WAITING_CLASSES = frozenset({RequestClass.DRAFT, RequestClass.REVIEW})


class EndpointKind(enum.StrEnum):
    """What kind of server an endpoint is."""

    ENGINE = "engine"
    SERVICE = "service"


class Outcome(enum.StrEnum):
    """What a caller can be told about its request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


class Reason(enum.StrEnum):
    """Why a request was refused or given up."""

    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    NO_OWNER = "no_owner"
    NO_PERMISSION = "no_permission"
    KEY_TABLE_FULL = "key_table_full"
    COPY_LIMIT = "copy_limit"
    RETRY_BUDGET = "retry_budget"
    RUN_TABLE_FULL = "run_table_full"
    SLOT_UNCERTAIN = "slot_uncertain"
    INTERRUPTED = "interrupted"
    SETTLED = "settled"
    KEY_CONFLICT = "key_conflict"
    CANCELLED = "cancelled"
    UNKNOWN_KEY = "unknown_key"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One caller's request, as the node that accepted it understood it.

    Attributes:
      id: unique for ever; names the node incarnation that made it.
      target: the model or plain service it asks for.
      key: the idempotency key, or "" if it has none.
      minted_epoch: the slot epoch in which plumarch issued the key; 0 if the caller chose it.
      fingerprint: hash of what was asked, to find a key that is used for two requests.
      timeout_ms: how long the caller lets it take, from its acceptance.
      seed: fixes the sampling, so that a resumed answer continues the same text.
    """

    id: str
    workspace: str
    target: str
    kind: EndpointKind
    request_class: RequestClass
    body: bytes = b""
    method: str = "POST"
    path: str = ""
    content_type: str = "application/json"
    key: str = ""
    minted_epoch: int = 0
    fingerprint: int = 0
    repeatable: bool = True
    prompt_tokens: int = 0
    max_tokens: int = 0
    seed: int = 0
    prefix: int = 0
    timeout_ms: int = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer of a plain service, or the closing state of a stream."""

    status: int = 200
    content_type: str = "application/json"
    body: bytes = b""
    tokens: tuple[str, ...] = ()


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A VM that runs requests.

    Attributes:
      address: base URL.
      targets: the models or services it serves.
      capacity: how many requests it runs at once.
      price: price of the VM per hour, in the platform's currency.
      checks_fencing: whether it rejects orders with an old fencing token.
      reclaimable: whether the cloud may take the VM away on notice.
    """

    name: str
    data_centre: str
    kind: EndpointKind
    address: str
    targets: tuple[str, ...]
    capacity: int = 8
    vm_class: str = "standard"
    price: float = 1.0
    checks_fencing: bool = False
    reclaimable: bool = True
    state: EndpointState = EndpointState.LIVE
    leaves_in_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A VM class that the cloud sells in a data centre, and its price per hour."""

    name: str
    data_centre: str
    price: float
    capacity: int
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine says of itself; it is some seconds old when it arrives."""

    endpoint: str
    running: int
    queued: int


class KeyState(enum.StrEnum):
    """What is recorded for an idempotency key."""

    GRANTED = "granted"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """What a slot knows of one key.

    Attributes:
      home: the node that has the permission to hand the request to an endpoint.
      attempt: counts the homes that the request has had; a lower one is stale.
      copied: whether the request is of a class whose copy another node holds.
    """

    workspace: str
    key: str
    request_id: str
    home: str
    fingerprint: int
    state: KeyState
    attempt: int = 1
    repeatable: bool = True
    copied: bool = False
    reply: Reply | None = None
    written_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotObject:
    """The object on the platform that says who serves a slot of the key space.

    Attributes:
      epoch: grows by one with each change of owner: the fencing token.
      uncertain_epoch: not 0 while keys issued before this epoch may have run unrecorded.
      records: permissions that the owner wrote here since its successor could not hold them.
      writer: unique per write, so that a writer can recognise its own after a lost answer.
    """

    epoch: int
    owner: str
    successor: str
    uncertain_epoch: int = 0
    records: tuple[KeyRecord, ...] = ()
    writer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyTarget:
    """What a workspace asks of a class, in milliseconds; 0 means no target."""

    first_token_ms: int = 0
    between_tokens_ms: int = 0
    total_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service that a workspace may call.

    Attributes:
      not_repeatable: "METHOD /path/prefix" patterns of calls that run at most once.
    """

    name: str
    request_class: RequestClass = RequestClass.LOOKUP
    not_repeatable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace's parameters, rendered over its template.

    Attributes:
      token_digest: SHA-256 of the callers' token, in hexadecimal.
      weight: its share when there is not enough for all.
      data_centres: where its requests may run; empty means anywhere.
      vm_classes: the VM classes that may be held for it.
    """

    name: str
    template: str
    token_digest: str
    model: str
    adapter: str = ""
    weight: float = 1.0
    data_centres: frozenset[str] = frozenset()
    vm_classes: tuple[str, ...] = ()
    targets: dict[RequestClass, LatencyTarget] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)


class NodeState(enum.StrEnum):
    """How a node sees another entry node."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Considered:
    """One endpoint that a placement looked at, and its score (lower is better)."""

    endpoint: str
    score: float
    note: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A record of one decision: what was chosen, why, and what else was considered."""

    at_ms: int
    node: str
    request_id: str
    workspace: str
    kind: str
    choice: str
    why: str
    considered: tuple[Considered, ...] = ()
    key: str = ""
