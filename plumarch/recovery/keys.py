"""Mapping of keys to slots, and a slot's records."""

import dataclasses

from plumarch.core import data, hashing

SLOTS = 32
"""Slots per region; fixed, since a key must always map to the same slot."""

RETENTION_MS = 600_000
"""How long a record is kept after its last change, and callers may retry."""

TABLE_LIMIT = 20_000
"""Maximum records per slot; other claims are refused as not run."""

REPLY_LIMIT = 65_536
"""Maximum bytes of a recorded reply; longer ones are dropped."""

ISSUED = "pk"


def slot_of(workspace: str, key: str) -> int:
    """Return the slot of a key; issued keys contain theirs."""
    issued = issued_parts(key)
    if issued is not None:
        return issued[0]
    return hashing.digest(workspace, key) % SLOTS


def issue(slot: int, epoch: int, unique: str) -> str:
    """Build a URL-safe key that is not older than its epoch."""
    plain = "".join(c if c.isalnum() else "-" for c in unique)
    return f"{ISSUED}.{slot}.{epoch}.{plain}"


def issued_parts(key: str) -> tuple[int, int] | None:
    """Return slot and epoch of an issued key, or None for a caller's own."""
    parts = key.split(".", 3)
    if len(parts) != 4 or parts[0] != ISSUED:
        return None
    if not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    slot = int(parts[1])
    return (slot, int(parts[2])) if slot < SLOTS else None


def issued_epoch(key: str) -> int:
    """Return a key's epoch, or 0 for a caller's own key."""
    parts = issued_parts(key)
    return parts[1] if parts else 0


class Table:
    """One slot's records, ordered by their last change."""

    def __init__(self, records: list[data.KeyRecord] | None = None) -> None:
        self.records: dict[tuple[str, str], data.KeyRecord] = {}
        for record in records or []:
            self.put(record, record.written_ms)

    def get(self, workspace: str, key: str) -> data.KeyRecord | None:
        """Return a key's record, or None."""
        return self.records.get((workspace, key))

    def put(self, record: data.KeyRecord, now: int) -> data.KeyRecord:
        """Store and return a record at the local time now, without an oversized reply."""
        reply = record.reply
        if reply is not None and reply_size(reply) > REPLY_LIMIT:
            reply = None
        kept = dataclasses.replace(record, written_ms=now, reply=reply)
        # Removing the key first keeps the dict ordered by age.
        self.records.pop((record.workspace, record.key), None)
        self.records[(record.workspace, record.key)] = kept
        return kept

    def drop(self, workspace: str, key: str) -> None:
        """Remove a key's record."""
        self.records.pop((workspace, key), None)

    def merge(self, records: list[data.KeyRecord], now: int) -> None:
        """Merge another copy's records; the higher rank wins."""
        for record in records:
            mine = self.get(record.workspace, record.key)
            if mine is None or rank(record) > rank(mine):
                self.put(record, now)

    def full(self) -> bool:
        """Return whether the table is full."""
        return len(self.records) >= TABLE_LIMIT

    def expire(self, now: int) -> int:
        """Drop expired records and return how many."""
        old = []
        for name, record in self.records.items():
            if now - record.written_ms <= RETENTION_MS:
                break
            old.append(name)
        for name in old:
            del self.records[name]
        return len(old)

    def listing(self) -> list[data.KeyRecord]:
        """Return all records, oldest first."""
        return list(self.records.values())


def rank(record: data.KeyRecord) -> tuple[int, int]:
    """Return a record's precedence: settled before granted, then by attempt."""
    settled = 0 if record.state is data.KeyState.GRANTED else 1
    return (settled, record.attempt)


def reply_size(reply: data.Reply) -> int:
    """Return a reply's approximate bytes."""
    return len(reply.body) + sum(len(token) for token in reply.tokens)
