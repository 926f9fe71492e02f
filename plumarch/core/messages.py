"""The messages between entry nodes.

Each is a tagged, frozen struct, so that the codec checks field types on arrival.
Any message may be lost, late, doubled or overtaken by another; every handler
must be right all the same. Times are durations in milliseconds.
"""

import enum

import msgspec

from plumarch.core import data


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all peer messages."""


class Heartbeat(Message, frozen=True):
    """Says that a node lives, which slots it owns, and what it knows that is urgent.

    Attributes:
      owned: pairs of slot number and epoch.
      leaving: names of VMs (endpoints or nodes) under a reclaim notice, with milliseconds left.
      revision: revision of the configuration in force.
      demand: target, places in use or waited for, and of these those that must not wait.
    """

    data_centre: str
    state: data.NodeState
    address: str = ""
    owned: list[tuple[int, int]] = []
    leaving: list[tuple[str, int]] = []
    revision: int = 0
    demand: list[tuple[str, int, int]] = []


class Verdict(enum.StrEnum):
    """A slot owner's answer about a key. After MOVED the same is asked again, soon."""

    GRANTED = "granted"
    EXISTS = "exists"
    CONFLICT = "conflict"
    ABSENT = "absent"
    UNCERTAIN = "uncertain"
    MOVED = "moved"
    CANNOT = "cannot"
    FULL = "full"


class Claim(Message, frozen=True):
    """Asks a slot's owner for the permission to hand a request over.

    With refuse set, asks it to settle the key as refused instead.
    """

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
    """Asks a slot's owner what it knows of a key, changing nothing."""

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
    """Tells a slot's owner how a granted request ended."""

    slot: int
    workspace: str
    key: str
    request_id: str
    attempt: int
    state: data.KeyState
    reply: data.Reply | None = None


class SettleAnswer(Message, frozen=True):
    """Answers a Settle: the record that is in force now, held by owner and successor."""

    request_id: str
    verdict: Verdict
    record: data.KeyRecord | None = None


class Rehome(Message, frozen=True):
    """Asks a slot's owner to make another node the home of a repeatable request."""

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
    """Asks the successor to hold a record."""

    slot: int
    epoch: int
    operation: int
    record: data.KeyRecord


class Replicated(Message, frozen=True):
    """Says that the successor holds the record of an operation."""

    slot: int
    epoch: int
    operation: int


class NoTable(Message, frozen=True):
    """Says that this node holds no table for the slot and epoch, so can't acknowledge."""

    slot: int
    epoch: int


class TableCopy(Message, frozen=True):
    """Gives a node that shall become successor the whole table of a slot."""

    slot: int
    epoch: int
    copy: int
    records: list[data.KeyRecord]


class TableCopied(Message, frozen=True):
    """Says that the whole table is held."""

    slot: int
    epoch: int
    copy: int


class CopyPut(Message, frozen=True):
    """Asks a node in another data centre to hold a copy of an accepted request."""

    request: data.Request
    attempt: int


class CopyAck(Message, frozen=True):
    """Says whether the copy is held."""

    request_id: str
    held: bool


class CopyDrop(Message, frozen=True):
    """Says that a request has ended: its copy can go."""

    request_id: str


class Adopt(Message, frozen=True):
    """Hands a request in progress to another node, with the tokens made so far.

    Attributes:
      import_from: address of the engine that runs it now and can export its KV cache.
      import_attempt: the attempt under which that engine knows it.
      points: what the ends of endpoints that ran it speak against it, as in limits.quarantine.
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
    """Says that this node is now the home of the request."""

    request_id: str
    attempt: int


class Subscribe(Message, frozen=True):
    """Asks a request's home for its tokens from a position on."""

    request_id: str
    watcher_id: str
    position: int


class Chunk(Message, frozen=True):
    """Tokens of a request for one watcher; position is that of the first."""

    request_id: str
    watcher_id: str
    position: int
    tokens: list[str]


class Ended(Message, frozen=True):
    """The final answer for one watcher; total counts all tokens of the answer."""

    request_id: str
    watcher_id: str
    outcome: data.Outcome
    reason: str
    reply: data.Reply | None
    total: int


class NotHere(Message, frozen=True):
    """Says that this node is not the home of the request; home names it if known."""

    request_id: str
    watcher_id: str
    home: str = ""


class Cancel(Message, frozen=True):
    """Asks the home to cancel a request."""

    request_id: str


class ConfigAsk(Message, frozen=True):
    """Asks a peer for its configuration if that is newer than a revision."""

    revision: int


class ConfigGive(Message, frozen=True):
    """Gives a configuration, whole or as what changed since a revision.

    Attributes:
      base: the revision that it is a change to; 0 if it is whole.
      manifest: document name to digest, of all documents or of those that changed;
        a removed document has the digest "".
      documents: the texts of those that the receiver may lack, by digest.
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
