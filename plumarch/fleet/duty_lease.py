"""Record of the duty lease: holder, fencing token and usage windows.

Conditional writes ensure that no two nodes act under one token, whatever the clocks say.
"""

import dataclasses

import msgspec

from plumarch.core import records

KIND = "plumarch-duties"
NAME = "holder"
RETAINED_WINDOWS = 6


class RolloutRecord(msgspec.Struct, frozen=True):
    """Progress of a roll-out.

    Attributes:
      began_ms: wall-clock time at which its order was first seen.
      stage: of fleet.rollout.
    """

    version: str
    began_ms: int
    stage: str
    share: float


class DutyRecord(msgspec.Struct, frozen=True):
    """The duty record in the store.

    Attributes:
      token: the holder's fencing token.
      windows: counts of the newest usage windows, stored before they are reported.
      sizes: endpoints that each service needs, for the next holder.
      rollouts: the last one of each service.
      renewals: writes that only renewed the lease.
    """

    holder: str
    incarnation: int
    token: int
    windows: dict[str, dict[str, int]] = {}
    sizes: dict[str, int] = {}
    rollouts: dict[str, RolloutRecord] = {}
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its revision in the store."""

    record: DutyRecord
    revision: int


def decode(found: records.Record | None) -> StoredRecord | None:
    """Decode a record from the store.

    Raises:
      msgspec.DecodeError: the value is not a duty record.
    """
    if found is None:
        return None
    return StoredRecord(msgspec.json.decode(found.value, type=DutyRecord), found.revision)


def encode(stored: StoredRecord) -> records.Record:
    """Encode a record for a conditional write at its revision."""
    value = msgspec.json.encode(stored.record).decode()
    return records.Record(NAME, value, stored.revision)


def taken_over(found: StoredRecord | None, node: str, incarnation: int) -> StoredRecord:
    """Return the record that makes a node the holder under the next token."""
    if found is None:
        return StoredRecord(DutyRecord(node, incarnation, 1), 0)
    successor = msgspec.structs.replace(
        found.record, holder=node, incarnation=incarnation, token=found.record.token + 1
    )
    return StoredRecord(successor, found.revision)


def with_window(
    stored: StoredRecord, window: int, counts: dict[str, int], sizes: dict[str, int]
) -> StoredRecord:
    """Return the record with a window's counts; existing ones stay."""
    windows = dict(stored.record.windows)
    windows.setdefault(str(window), counts)
    newest = sorted(windows, key=int)[-RETAINED_WINDOWS:]
    record = msgspec.structs.replace(
        stored.record,
        windows={number: windows[number] for number in newest},
        sizes={**stored.record.sizes, **sizes},
    )
    return StoredRecord(record, stored.revision)


def with_rollout(stored: StoredRecord, service: str, rollout: RolloutRecord) -> StoredRecord:
    """Return the record with a roll-out's progress."""
    rollouts = {**stored.record.rollouts, service: rollout}
    return StoredRecord(msgspec.structs.replace(stored.record, rollouts=rollouts), stored.revision)


def renewed(stored: StoredRecord) -> StoredRecord:
    """Return the record that renews the lease."""
    record = msgspec.structs.replace(stored.record, renewals=stored.record.renewals + 1)
    return StoredRecord(record, stored.revision)


@dataclasses.dataclass(slots=True)
class RecordWatch:
    """Tracks for how long a record has stayed unchanged.

    Attributes:
      since_ms: when the revision was first seen.
      checked_ms: time of the last check.
    """

    revision: int = -1
    since_ms: int = 0
    checked_ms: int = 0

    def unchanged_ms(self, stored: StoredRecord, now: int, pause_ms: int) -> int:
        """Check the record.

        Args:
          pause_ms: a longer pause between two checks restarts the time.
        Returns:
          The time for which it is unchanged.
        """
        if stored.revision != self.revision or now - self.checked_ms > pause_ms:
            self.revision = stored.revision
            self.since_ms = now
        self.checked_ms = now
        return now - self.since_ms


def is_mine(stored: StoredRecord | None, node: str, incarnation: int) -> bool:
    """Return whether a record names this process."""
    if stored is None:
        return False
    return stored.record.holder == node and stored.record.incarnation == incarnation
