"""Record of the duty lease: holder, fencing token and usage windows.

Conditional writes ensure that no two nodes act under one token, whatever the clocks say. A token is
the revision on which its lease was written, plus one: only one write succeeds on a revision, and
all revisions are higher after the store came back from an older copy, whatever that lacks.
"""

import dataclasses

import msgspec

from plumarch.core import decoding, records, revisions

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
      first_window: earlier windows are not reported unless they are recorded: they may have been,
        with other counts, in a record that the store lost.
    """

    holder: str
    incarnation: int
    token: int
    windows: dict[str, dict[str, int]] = {}
    sizes: dict[str, int] = {}
    rollouts: dict[str, RolloutRecord] = {}
    renewals: int = 0
    first_window: int = 0


UNHELD = DutyRecord("", 0, 0)
"""Written first, for a revision to base the first lease on."""


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
    return StoredRecord(decoding.json_text(found.value, DutyRecord), found.revision)


def encode(stored: StoredRecord) -> records.Record:
    """Encode a record for a conditional write at its revision."""
    value = msgspec.json.encode(stored.record).decode()
    return records.Record(NAME, value, stored.revision)


def taken_over(
    found: StoredRecord, node: str, incarnation: int, first_window: int = 0
) -> StoredRecord:
    """Return the record that makes a node the holder under the next token.

    Args:
      first_window: the first one to report, if records of earlier ones may have been lost.
    """
    successor = msgspec.structs.replace(
        found.record,
        holder=node,
        incarnation=incarnation,
        token=max(found.record.token, found.revision) + 1,
        first_window=max(found.record.first_window, first_window),
    )
    return StoredRecord(successor, found.revision)


def regained(found: StoredRecord, lost: DutyRecord) -> StoredRecord:
    """Return the record that makes the holder of a lost one the holder again.

    Args:
      lost: what the holder had written; it prevails over an older copy.
    """
    windows = {**found.record.windows, **lost.windows}
    record = msgspec.structs.replace(
        lost,
        windows=_newest(windows),
        sizes={**found.record.sizes, **lost.sizes},
        rollouts={**found.record.rollouts, **lost.rollouts},
    )
    return taken_over(StoredRecord(record, found.revision), lost.holder, lost.incarnation)


def _newest(windows: dict[str, dict[str, int]]) -> dict[str, dict[str, int]]:
    return {number: windows[number] for number in sorted(windows, key=int)[-RETAINED_WINDOWS:]}


def with_window(
    stored: StoredRecord, window: int, counts: dict[str, int], sizes: dict[str, int]
) -> StoredRecord:
    """Return the record with a window's counts; existing ones stay."""
    windows = dict(stored.record.windows)
    windows.setdefault(str(window), counts)
    record = msgspec.structs.replace(
        stored.record, windows=_newest(windows), sizes={**stored.record.sizes, **sizes}
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
    """Return whether a record names this process, under a token of the store's present era."""
    if stored is None or not is_current(stored):
        return False
    return stored.record.holder == node and stored.record.incarnation == incarnation


def is_current(stored: StoredRecord) -> bool:
    """Return whether a lease was written in the store's era in which it was read.

    Otherwise the store came back from an older copy since, or an earlier build wrote it.
    """
    return revisions.era(stored.record.token) == revisions.era(stored.revision)
