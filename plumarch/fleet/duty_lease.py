"""One holder of the duties at a time, by a conditional write; its fencing token only rises.

The record names the holder, its incarnation, the token, and the usage windows that were
summed up. Time decides only when another node tries; that two never act under one token
follows from the conditional write alone, and that an old holder's calls do nothing from the
token that the platform checks.
"""

import dataclasses

import msgspec

from plumarch.core import records

KIND = "plumarch-duties"
NAME = "holder"
RETAINED_WINDOWS = 6


class RolloutRecord(msgspec.Struct, frozen=True):
    """How far a roll-out is.

    Attributes:
      began_ms: time of day at which its order was first seen.
      stage: as of fleet.rollout.
    """

    version: str
    began_ms: int
    stage: str
    share: float


class DutyRecord(msgspec.Struct, frozen=True):
    """The duties' record in the store.

    Attributes:
      token: the holder's fencing token.
      windows: counts of the newest usage windows, fixed before they are reported.
      sizes: endpoints that each service had at the first start.
      rollouts: the last roll-out of each service.
      renewals: how often a holder wrote it only to show that it lives.
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
    """A record as it was read or written last."""

    record: DutyRecord
    revision: int


def decode(found: records.Record | None) -> StoredRecord | None:
    """Read a record.

    Raises:
      msgspec.DecodeError: its value is not a record.
    """
    if found is None:
        return None
    return StoredRecord(msgspec.json.decode(found.value, type=DutyRecord), found.revision)


def encode(stored: StoredRecord) -> records.Record:
    """Return a record as the store takes it, to be written under its revision."""
    value = msgspec.json.encode(stored.record).decode()
    return records.Record(NAME, value, stored.revision)


def taken_over(found: StoredRecord | None, node: str, incarnation: int) -> StoredRecord:
    """Return the record that makes a node the holder, in place of the one found."""
    if found is None:
        return StoredRecord(DutyRecord(node, incarnation, 1), 0)
    taken = msgspec.structs.replace(
        found.record, holder=node, incarnation=incarnation, token=found.record.token + 1
    )
    return StoredRecord(taken, found.revision)


def with_window(
    stored: StoredRecord, window: int, counts: dict[str, int], sizes: dict[str, int]
) -> StoredRecord:
    """Return the record with a window's counts, unless the window stands there already.

    Args:
      sizes: endpoints that services need now, for a holder that comes next.
    """
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
    """Return the record with how far a service's roll-out is."""
    rollouts = {**stored.record.rollouts, service: rollout}
    return StoredRecord(msgspec.structs.replace(stored.record, rollouts=rollouts), stored.revision)


def renewed(stored: StoredRecord) -> StoredRecord:
    """Return the record as a holder writes it to show that it lives."""
    record = msgspec.structs.replace(stored.record, renewals=stored.record.renewals + 1)
    return StoredRecord(record, stored.revision)


@dataclasses.dataclass(slots=True)
class RecordWatch:
    """Since when a record stands unchanged, by one who looks at it again and again.

    Attributes:
      revision: of the record when it was seen last.
      since_ms: when it was seen first.
      checked_ms: when it was looked at last.
    """

    revision: int = -1
    since_ms: int = 0
    checked_ms: int = 0

    def unchanged_ms(self, stored: StoredRecord, now: int, pause_ms: int) -> int:
        """Look at the record.

        Args:
          pause_ms: after a longer pause between two looks the time counts anew.
        Returns:
          For how long it is known to stand unchanged.
        """
        if stored.revision != self.revision or now - self.checked_ms > pause_ms:
            self.revision = stored.revision
            self.since_ms = now
        self.checked_ms = now
        return now - self.since_ms


def is_mine(stored: StoredRecord | None, node: str, incarnation: int) -> bool:
    """Return whether a record names a process as the holder."""
    if stored is None:
        return False
    return stored.record.holder == node and stored.record.incarnation == incarnation
