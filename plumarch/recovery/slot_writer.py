"""Conditional writes to slot objects with a definite outcome.

After a lost answer, the object is read back and its writer token compared. An unchanged object is
written again at the same version, so that at most one try takes effect.
"""

import dataclasses
from typing import Protocol

import msgspec

from plumarch.core import context, data, events
from plumarch.recovery import slots

RETRY_MS = 500
"""Time between retries of an unresolved write."""


class Listener(Protocol):
    """Callbacks for reads and writes of slot objects."""

    def loaded(self, number: int, version: int, found: data.SlotObject | None) -> None:
        """Handle a read; found is None if the object does not exist."""

    def load_failed(self, number: int) -> None:
        """Handle a failed read."""

    def written(
        self, number: int, purpose: slots.Purpose, version: int, landed: data.SlotObject
    ) -> None:
        """Handle a write that took effect."""

    def conflicted(
        self, number: int, purpose: slots.Purpose, version: int, found: data.SlotObject
    ) -> None:
        """Handle a preempted write."""

    def not_written(self, number: int, purpose: slots.Purpose) -> None:
        """Handle a write that did not reach the platform."""


class SlotWriter:
    """Reads and writes slot objects, one call per slot at a time."""

    def __init__(self, ctx: context.Context, listener: Listener) -> None:
        self.ctx = ctx
        self.listener = listener
        self.writes: dict[int, slots.Write] = {}
        self.by_call: dict[int, int] = {}
        self.sequence = 0

    def busy(self, number: int) -> bool:
        """Return whether a slot's call is unresolved."""
        return number in self.writes

    def purpose(self, number: int) -> slots.Purpose | None:
        """Return the purpose of the slot's call, if any."""
        write = self.writes.get(number)
        return write.purpose if write else None

    def load(self, number: int) -> None:
        """Read a slot's object."""
        write = slots.Write(number, slots.Purpose.LOAD, 0, 0)
        self.writes[number] = write
        self._get(write)

    def write(
        self, number: int, purpose: slots.Purpose, wanted: data.SlotObject, expected_version: int
    ) -> None:
        """Write a slot's object at the expected version (0: absent)."""
        write = slots.Write(number, purpose, expected_version, 0, object=wanted)
        self.writes[number] = write
        self._put(write)

    def _get(self, write: slots.Write) -> None:
        write.retry_at_ms = -1
        write.call_id = self.ctx.next_call()
        self.by_call[write.call_id] = write.number
        self.ctx.act(events.PlatformGet(write.call_id, slots.object_name(write.number)))

    def _put(self, write: slots.Write) -> None:
        assert write.object is not None
        self.sequence += 1
        token = f"{self.ctx.node}/{self.sequence}"
        marked = dataclasses.replace(write.object, writer=token)
        write.tokens[token] = marked
        write.reading_back = False
        write.retry_at_ms = -1
        write.call_id = self.ctx.next_call()
        self.by_call[write.call_id] = write.number
        name = slots.object_name(write.number)
        value = msgspec.json.encode(marked)
        self.ctx.act(events.PlatformPut(write.call_id, name, value, write.expected_version))

    def handle_answer(self, answer: events.PlatformAnswer) -> bool:
        """Handle an answer and return whether it was this writer's."""
        number = self.by_call.pop(answer.call_id, None)
        if number is None:
            return False
        write = self.writes.get(number)
        if write is None or write.call_id != answer.call_id:
            return True
        if write.object is None:
            self._load_answered(write, answer)
        elif write.reading_back:
            self._read_back_answered(write, answer)
        else:
            self._put_answered(write, answer)
        return True

    def _load_answered(self, write: slots.Write, answer: events.PlatformAnswer) -> None:
        del self.writes[write.number]
        if answer.status is events.PlatformStatus.OK:
            found = msgspec.json.decode(answer.value, type=data.SlotObject)
            self.listener.loaded(write.number, answer.version, found)
        elif answer.status is events.PlatformStatus.ABSENT:
            self.listener.loaded(write.number, 0, None)
        else:
            self.listener.load_failed(write.number)

    def _put_answered(self, write: slots.Write, answer: events.PlatformAnswer) -> None:
        assert write.object is not None
        if answer.status is events.PlatformStatus.OK:
            del self.writes[write.number]
            self.listener.written(write.number, write.purpose, answer.version, write.object)
        elif answer.status is events.PlatformStatus.UNREACHED and not write.may_have_landed:
            del self.writes[write.number]
            self.listener.not_written(write.number, write.purpose)
        elif answer.status is events.PlatformStatus.CONFLICT:
            write.reading_back = True
            self._get(write)
        else:
            write.may_have_landed = True
            write.reading_back = True
            write.retry_at_ms = self.ctx.now() + RETRY_MS

    def _read_back_answered(self, write: slots.Write, answer: events.PlatformAnswer) -> None:
        if answer.status is events.PlatformStatus.ABSENT and write.expected_version == 0:
            self._put(write)
            return
        if answer.status is not events.PlatformStatus.OK:
            write.retry_at_ms = self.ctx.now() + RETRY_MS
            return
        found = msgspec.json.decode(answer.value, type=data.SlotObject)
        if found.writer in write.tokens:
            self.ctx.count("ambiguous_writes_resolved")
            del self.writes[write.number]
            landed = write.tokens[found.writer]
            self.listener.written(write.number, write.purpose, answer.version, landed)
        elif answer.version == write.expected_version:
            self._put(write)
        else:
            del self.writes[write.number]
            self.listener.conflicted(write.number, write.purpose, answer.version, found)

    def tick(self) -> None:
        """Retry unresolved writes."""
        now = self.ctx.now()
        for write in list(self.writes.values()):
            if 0 <= write.retry_at_ms <= now:
                self._get(write)
