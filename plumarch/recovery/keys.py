"""The key space: which slot a key falls into, and the table of one slot's records."""

import dataclasses

from plumarch.core import data, hashing

SLOTS = 32
"""Slots a region. A deployment never changes it: the same key must keep its slot."""

RETENTION_MS = 600_000
"""How long a key's record outlives its last change: callers may retry that long."""

TABLE_LIMIT = 20_000
"""Records a slot holds at most; a claim past it is refused as not run."""

REPLY_LIMIT = 65_536
"""Bytes of one reply kept beside its record; a longer one isn't kept."""

ISSUED = "pk"


def slot_of(workspace: str, key: str) -> int:
    """Return the slot of a key. Keys that plumarch issued name their slot."""
    issued = issued_parts(key)
    if issued is not None:
        return issued[0]
    return hashing.digest(workspace, key) % SLOTS


def issue(slot: int, epoch: int, unique: str) -> str:
    """Make a key that proves by its epoch that it is not older than that epoch.

    It holds only characters that need no quoting in a URL.
    """
    plain = "".join(c if c.isalnum() else "-" for c in unique)
    return f"{ISSUED}.{slot}.{epoch}.{plain}"


def issued_parts(key: str) -> tuple[int, int] | None:
    """Return slot and epoch of an issued key, or None if the caller chose the key."""
    parts = key.split(".", 3)
    if len(parts) != 4 or parts[0] != ISSUED:
        return None
    if not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    slot = int(parts[1])
    return (slot, int(parts[2])) if slot < SLOTS else None


def issued_epoch(key: str) -> int:
    """Return the epoch in which a key was issued, or 0 if the caller chose it."""
    parts = issued_parts(key)
    return parts[1] if parts else 0


class Table:
    """The records of one slot, bounded in number, each kept RETENTION_MS past its last change."""

    def __init__(self, records: list[data.KeyRecord] | None = None) -> None:
        self.records: dict[tuple[str, str], data.KeyRecord] = {}
        for record in records or []:
            self.put(record, record.written_ms)

    def get(self, workspace: str, key: str) -> data.KeyRecord | None:
        """Return the record of a key, if there is one."""
        return self.records.get((workspace, key))

    def put(self, record: data.KeyRecord, now: int) -> data.KeyRecord:
        """Put a record in, dated now by this node's own clock; its reply is bounded.

        Returns:
          The record as kept.
        """
        reply = record.reply
        if reply is not None and reply_size(reply) > REPLY_LIMIT:
            reply = None
        kept = dataclasses.replace(record, written_ms=now, reply=reply)
        # Taking the key out first moves it to the end: the dict stays in order of age.
        self.records.pop((record.workspace, record.key), None)
        self.records[(record.workspace, record.key)] = kept
        return kept

    def drop(self, workspace: str, key: str) -> None:
        """Forget a key."""
        self.records.pop((workspace, key), None)

    def merge(self, records: list[data.KeyRecord], now: int) -> None:
        """Take in another copy's records; of two for a key the more final one stays."""
        for record in records:
            mine = self.get(record.workspace, record.key)
            if mine is None or rank(record) > rank(mine):
                self.put(record, now)

    def full(self) -> bool:
        """Return whether no more keys fit in."""
        return len(self.records) >= TABLE_LIMIT

    def expire(self, now: int) -> int:
        """Drop records that are past their time, oldest first.

        Returns:
          How many were dropped.
        """
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
    """Return how far a record has got; a settled one goes before a granted one."""
    settled = 0 if record.state is data.KeyState.GRANTED else 1
    return (settled, record.attempt)


def reply_size(reply: data.Reply) -> int:
    """Return the bytes that a kept reply takes, roughly."""
    return len(reply.body) + sum(len(token) for token in reply.tokens)
