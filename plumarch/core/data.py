"""Immutable records shared by all packages."""

import dataclasses
import enum


class RequestClass(enum.StrEnum):
    """Priority class of a request, in order of service."""

    LOOKUP = "lookup"
    CHAT = "chat"
    DRAFT = "draft"
    REVIEW = "review"


WAITING_CLASSES = frozenset({RequestClass.DRAFT, RequestClass.REVIEW})


class EndpointKind(enum.StrEnum):
    """Kind of server behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


class Reason(enum.StrEnum):
    """Why a request was refused or abandoned."""

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
    """A caller's request as parsed by the accepting node.

    Attributes:
      id: globally unique; contains the accepting node's incarnation.
      key: idempotency key, or "".
      minted_epoch: slot epoch in which plumarch issued the key; 0 for a caller's own.
      fingerprint: hash of the content, to detect a key reused for another request.
      timeout_ms: caller's limit, counted from acceptance.
      seed: sampling seed, so that a resumed answer continues the same text.
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
    """The answer of a plain service, or a stream's final state."""

    status: int = 200
    content_type: str = "application/json"
    body: bytes = b""
    tokens: tuple[str, ...] = ()


class EndpointState(enum.StrEnum):
    """Whether an endpoint accepts new requests."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A VM that runs requests.

    Attributes:
      address: base URL.
      capacity: maximum concurrent requests.
      price: VM price per hour in the platform's currency.
      checks_fencing: whether it rejects stale fencing tokens.
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
    """A VM class on sale in a data centre; price per hour."""

    name: str
    data_centre: str
    price: float
    capacity: int
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's reported load, some seconds old on arrival."""

    endpoint: str
    running: int
    queued: int


class KeyState(enum.StrEnum):
    """State of an idempotency key's record."""

    GRANTED = "granted"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """A slot's record of one key.

    Attributes:
      home: the node permitted to dispatch the request.
      attempt: sequence number of the home; lower ones are stale.
      copied: whether the class is copied to another data centre.
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
    """The platform object that names a slot's owner.

    Attributes:
      epoch: fencing token, incremented with each change of owner.
      uncertain_epoch: keys issued before it may have run unrecorded; 0 if none.
      records: permissions that the successor did not acknowledge.
      writer: unique per write, to recognise it after a lost answer.
    """

    epoch: int
    owner: str
    successor: str
    uncertain_epoch: int = 0
    records: tuple[KeyRecord, ...] = ()
    writer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyTarget:
    """Latency targets of a workspace for a class, in ms; 0 for none."""

    first_token_ms: int = 0
    between_tokens_ms: int = 0
    total_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service of a workspace.

    Attributes:
      not_repeatable: "METHOD /path/prefix" patterns of calls that run at most once.
    """

    name: str
    request_class: RequestClass = RequestClass.LOOKUP
    not_repeatable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace's parameters, merged with its template.

    Attributes:
      token_digest: SHA-256 of the callers' token, in hexadecimal.
      data_centres: where its requests may run; empty for anywhere.
      vm_classes: VM classes that may be ordered.
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
    """State of an entry node."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Considered:
    """An endpoint considered by placement; lower scores are better."""

    endpoint: str
    score: float
    note: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A recorded decision with its candidates."""

    at_ms: int
    node: str
    request_id: str
    workspace: str
    kind: str
    choice: str
    why: str
    considered: tuple[Considered, ...] = ()
    key: str = ""
