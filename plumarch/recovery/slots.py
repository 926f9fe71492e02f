"""State of owners and successors per slot."""

import dataclasses
import enum

from plumarch.core import data, messages
from plumarch.recovery import keys


class Purpose(enum.StrEnum):
    """Why a slot's object is read or written."""

    LOAD = "load"
    TAKE_OVER = "take"
    STORE = "store"
    SWITCH = "switch"
    CERTAIN = "certain"


@dataclasses.dataclass(slots=True)
class Operation:
    """A record being replicated, and the answer to send once it is durable.

    Attributes:
      acks: nodes that hold the record.
      previous: the record replaced, if any.
    """

    number: int
    record: data.KeyRecord
    to_node: str
    answer: messages.AnyMessage
    failure: messages.AnyMessage
    started_ms: int
    previous: data.KeyRecord | None = None
    acks: set[str] = dataclasses.field(default_factory=set)
    stored: bool = False


@dataclasses.dataclass(slots=True)
class OwnedSlot:
    """A slot that this node owns.

    Attributes:
      uncertain_epoch: as in data.SlotObject, as applied here.
      persisted_uncertain_epoch: in the object, updated once the successor holds the full table.
      pending: keys of records that are not durable.
      candidate: the node being made successor, or "".
      copy_first_operation: first operation after the copied table.
      object_records: the object's permissions that the successor may lack.
    """

    number: int
    epoch: int
    version: int
    successor: str
    table: keys.Table
    uncertain_epoch: int = 0
    persisted_uncertain_epoch: int = 0
    certain_at_ms: int = 0
    candidate: str = ""
    copy: int = 0
    copied: bool = False
    copy_started_ms: int = 0
    copy_first_operation: int = 0
    last_store_ms: int = -1_000
    operations: dict[int, Operation] = dataclasses.field(default_factory=dict)
    pending: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    object_records: dict[int, data.KeyRecord] = dataclasses.field(default_factory=dict)
    object_records_in_flight: dict[int, data.KeyRecord] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class HeldSlot:
    """A slot's table held as successor or candidate.

    Attributes:
      copy: number of the received copy; older ones are ignored.
      sealed: a takeover is in progress, so records of the epoch are not acknowledged.
      closed: a higher epoch exists, so records are never acknowledged again.
    """

    number: int
    epoch: int
    owner: str
    table: keys.Table
    copy: int = 0
    sealed: bool = False
    closed: bool = False


@dataclasses.dataclass(slots=True)
class Write:
    """A platform call in progress for a slot.

    Attributes:
      object: the object to write; None for a read.
      tokens: objects that may have been written, by writer token.
      retry_at_ms: time of the next try; -1 during a call.
    """

    number: int
    purpose: Purpose
    expected_version: int
    call_id: int
    object: data.SlotObject | None = None
    tokens: dict[str, data.SlotObject] = dataclasses.field(default_factory=dict)
    may_have_landed: bool = False
    reading_back: bool = False
    retry_at_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A slot's owner, as reported."""

    epoch: int
    owner: str
    last_seen_ms: int


def object_name(slot: int) -> str:
    """Return the name of a slot's object."""
    return f"slots/{slot:03d}"
