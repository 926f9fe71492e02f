"""Messages between nodes, possibly lost, duplicated or reordered; times are durations in ms."""

import enum

import msgspec

from plumarch.core import data


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of peer messages."""


class Heartbeat(Message, frozen=True):
    """A node's periodic state and demand.

    Attributes:
      owned: pairs of slot number and epoch.
      leaving: reclaimed VMs (endpoints or nodes), with milliseconds left.
      demand: target, capacity in use or queued for, and the urgent part of it.
    """

    data_centre: str
    state: data.NodeState
    address: str = ""
    owned: list[tuple[int, int]] = []
    leaving: list[tuple[str, int]] = []
    revision: int = 0
    demand: list[tuple[str, int, int]] = []


class Verdict(enum.StrEnum):
    """A slot owner's answer. After MOVED the sender repeats the request."""

    GRANTED = "granted"
    EXISTS = "exists"
    CONFLICT = "conflict"
    ABSENT = "absent"
    UNCERTAIN = "uncertain"
    MOVED = "moved"
    CANNOT = "cannot"
    FULL = "full"


class Claim(Message, frozen=True):
    """Requests permission to dispatch; with refuse, settles the key as refused."""

    slot: int
    workspace: str
    key: str
    minted_epoch: int
    request_id: str
    fingerprint: int
    refuse: bool = False
    repeatable: bool = True
    copied: bool = False


class ClaimAnswer(Message, frozen=True):
    """Answers a Claim."""

    request_id: str
    verdict: Verdict
    epoch: int = 0
    refuse: bool = False
    record: data.KeyRecord | None = None


class Lookup(Message, frozen=True):
    """Requests a key's record from the slot's owner."""

    slot: int
    workspace: str
    key: str
    lookup_id: str


class LookupAnswer(Message, frozen=True):
    """Answers a Lookup."""

    lookup_id: str
    verdict: Verdict
    record: data.KeyRecord | None = None


class Settle(Message, frozen=True):
    """Reports to the slot's owner how a request ended."""

    slot: int
    workspace: str
    key: str
    request_id: str
    attempt: int
    state: data.KeyState
    reply: data.Reply | None = None


class SettleAnswer(Message, frozen=True):
    """Answers a Settle with the record held by owner and successor."""

    request_id: str
    verdict: Verdict
    record: data.KeyRecord | None = None


class Rehome(Message, frozen=True):
    """Requests to become the home of a repeatable request."""

    slot: int
    workspace: str
    key: str
    request_id: str
    fingerprint: int
    attempt: int
    copied: bool = False


class RehomeAnswer(Message, frozen=True):
    """Answers a Rehome."""

    request_id: str
    verdict: Verdict
    record: data.KeyRecord | None = None


class Replicate(Message, frozen=True):
    """Sends a record to the slot's successor."""

    slot: int
    epoch: int
    operation: int
    record: data.KeyRecord


class Replicated(Message, frozen=True):
    """Acknowledges a Replicate."""

    slot: int
    epoch: int
    operation: int


class NoTable(Message, frozen=True):
    """Rejects a Replicate: no table for the slot and epoch."""

    slot: int
    epoch: int


class TableCopy(Message, frozen=True):
    """Sends a slot's table to a candidate for successor."""

    slot: int
    epoch: int
    copy: int
    records: list[data.KeyRecord]


class TableCopied(Message, frozen=True):
    """Acknowledges a TableCopy."""

    slot: int
    epoch: int
    copy: int


class CopyPut(Message, frozen=True):
    """Requests that another data centre's node hold a copy of a request."""

    request: data.Request
    attempt: int


class CopyAck(Message, frozen=True):
    """Answers a CopyPut: whether the copy is held."""

    request_id: str
    held: bool


class CopyDrop(Message, frozen=True):
    """Releases the copy of an ended request."""

    request_id: str


class Adopt(Message, frozen=True):
    """Offers a request in progress to a new home.

    Attributes:
      import_from: engine that can export its KV cache, or "".
      import_attempt: attempt number at that engine.
      points: suspicion of crashing endpoints, as in limits.quarantine.
    """

    request: data.Request
    attempt: int
    tokens: list[str]
    handed_over: bool
    elapsed_ms: int
    copy_holder: str = ""
    import_from: str = ""
    import_attempt: int = 0
    points: int = 0


class Adopted(Message, frozen=True):
    """Confirms that the sender is the new home."""

    request_id: str
    attempt: int


class Subscribe(Message, frozen=True):
    """Requests tokens from a request's home, starting at a position."""

    request_id: str
    watcher_id: str
    position: int


class Chunk(Message, frozen=True):
    """Tokens for one watcher, starting at position."""

    request_id: str
    watcher_id: str
    position: int
    tokens: list[str]


class Ended(Message, frozen=True):
    """The final answer for one watcher; total counts its tokens."""

    request_id: str
    watcher_id: str
    outcome: data.Outcome
    reason: str
    reply: data.Reply | None
    total: int


class NotHere(Message, frozen=True):
    """Rejects a Subscribe; names the home if known."""

    request_id: str
    watcher_id: str
    home: str = ""


class Cancel(Message, frozen=True):
    """Requests that the home cancel a request."""

    request_id: str


class ConfigAsk(Message, frozen=True):
    """Requests a peer's configuration if newer than a revision."""

    revision: int


class ConfigGive(Message, frozen=True):
    """Sends a configuration, in full or as a difference.

    Attributes:
      base: revision that the difference applies to; 0 if full.
      manifest: digest by name, of all or only changed documents; "" if removed.
      documents: texts that the receiver may lack, by digest.
    """

    revision: int
    base: int
    manifest: dict[str, str]
    documents: dict[str, str]


AnyMessage = (
    Heartbeat
    | Claim
    | ClaimAnswer
    | Lookup
    | LookupAnswer
    | Settle
    | SettleAnswer
    | Rehome
    | RehomeAnswer
    | Replicate
    | Replicated
    | NoTable
    | TableCopy
    | TableCopied
    | CopyPut
    | CopyAck
    | CopyDrop
    | Adopt
    | Adopted
    | Subscribe
    | Chunk
    | Ended
    | NotHere
    | Cancel
    | ConfigAsk
    | ConfigGive
)
