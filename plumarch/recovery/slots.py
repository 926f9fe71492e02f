"""Types of the slot protocol: what an owner and a successor keep for a slot."""

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
    """A record on its way to being permanent, and the answer that waits for it.

    Attributes:
      acks: the nodes that hold the record.
      stored: whether the slot's object holds it.
      previous: the record that it replaced in the owner's table.
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
      version: version of the slot's object as this node last knew it.
      uncertain_epoch: as in data.SlotObject, for this node's own answers.
      persisted_uncertain_epoch: the same as the object has it; it follows only when the
        successor holds the tables that ended the uncertainty.
      pending: keys of records that are not permanent yet.
      candidate: the node that gets the table to become successor, or "".
      copied: whether the candidate holds the table.
      copy_first_operation: operations from this number on are not part of that table.
      object_records: permissions that the object holds and the successor may not.
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
    """A slot that this node holds a copy of, as successor or as candidate for it.

    Attributes:
      copy: number of the table copy that it came from; an older copy is ignored.
      sealed: this node tries to take over, so it acknowledges nothing for the epoch.
      closed: a higher epoch rules; nothing is acknowledged ever again for this one.
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
      object: what is to be written; None for a read.
      tokens: the objects whose writes may have taken effect, by writer token.
      unsure: whether any of them may have.
      retry_at_ms: when to call again; -1 while a call is under way.
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
    """Who serves a slot, as far as this node knows."""

    epoch: int
    owner: str
    last_seen_ms: int


def object_name(slot: int) -> str:
    """Return the name of a slot's object on the platform."""
    return f"slots/{slot:03d}"
