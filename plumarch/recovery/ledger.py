"""The slot protocol, which grants at-most-once dispatch of a key without a consensus group.

A slot's owner replicates each grant to a successor in another data centre or to the platform.
Safety does not depend on clocks. See docs/design/once-only.md.
"""

import dataclasses

import msgspec

from plumarch.core import context, data, hashing, messages
from plumarch.membership import members
from plumarch.recovery import keys, slot_writer, slots

ACK_WAIT_MS = 250
"""Unacknowledged records are stored on the platform after this time."""

RESEND_MS = 200
"""Resend interval of unacknowledged messages."""

OPERATION_TIMEOUT_MS = 2_000
"""Time after which an undurable operation fails."""

STORE_INTERVAL_MS = 100
"""Minimum interval between batched writes of records."""

STORED_LIMIT = 500
"""Maximum records in a slot's object."""

COPY_TIMEOUT_MS = 3_000
"""Time after which a candidate without the table is dropped."""

ORPHAN_CHECK_MS = 500
"""Interval of the check for ownerless slots."""

JOIN_MS = 1_500
"""Delay after start before taking over slots."""

OPERATIONS_LIMIT = 2_000
"""Maximum pending operations per slot."""

Failable = (
    messages.ClaimAnswer | messages.SettleAnswer | messages.RehomeAnswer | messages.LookupAnswer
)


class Ledger:
    """Slots that this node owns or replicates, and the owners of others."""

    def __init__(self, ctx: context.Context, membership: members.Membership) -> None:
        self.ctx = ctx
        self.membership = membership
        self.owned: dict[int, slots.OwnedSlot] = {}
        self.held: dict[int, slots.HeldSlot] = {}
        self.routes: dict[int, slots.Route] = {}
        self.writer = slot_writer.SlotWriter(ctx, self)
        self.operation = 0
        self.next_resend_ms = 0
        self.next_orphan_check_ms = ctx.now() + JOIN_MS

    def claim(self, sender: str, m: messages.Claim) -> None:
        """Grant a dispatch, settle its key as refused, or answer with its record."""

        def answer(
            verdict: messages.Verdict, record: data.KeyRecord | None = None
        ) -> messages.ClaimAnswer:
            epoch = slot.epoch if slot else 0
            return messages.ClaimAnswer(m.request_id, verdict, epoch, m.refuse, record)

        slot = self.owned.get(m.slot)
        if slot is None or m.minted_epoch > slot.epoch:
            self.ctx.send(sender, answer(messages.Verdict.MOVED))
            return
        record = slot.table.get(m.workspace, m.key)
        if record is not None:
            if self._is_pending(slot, record):
                self.ctx.send(sender, answer(messages.Verdict.MOVED))
                return
            if m.refuse and _is_granted_to(record, sender, m.request_id):
                # Only the home could have run it, and reports that it did not.
                refused = dataclasses.replace(record, state=data.KeyState.REFUSED)
                granted = answer(messages.Verdict.GRANTED)
                self._commit(slot, refused, sender, granted, answer(messages.Verdict.CANNOT))
                return
            verdict = _verdict_on_known(record, sender, m)
            self.ctx.send(sender, answer(verdict, record))
            return
        if m.minted_epoch < slot.uncertain_epoch:
            self.ctx.send(sender, answer(messages.Verdict.UNCERTAIN))
            return
        if slot.table.full() or len(slot.operations) >= OPERATIONS_LIMIT:
            self.ctx.send(sender, answer(messages.Verdict.FULL))
            return
        state = data.KeyState.REFUSED if m.refuse else data.KeyState.GRANTED
        record = data.KeyRecord(
            m.workspace,
            m.key,
            m.request_id,
            sender,
            m.fingerprint,
            state,
            repeatable=m.repeatable,
            copied=m.copied,
        )
        verdict = messages.Verdict.GRANTED
        self._commit(slot, record, sender, answer(verdict), answer(messages.Verdict.CANNOT))

    def settle(self, sender: str, m: messages.Settle) -> None:
        """Record how a request ended."""

        def answer(
            verdict: messages.Verdict, record: data.KeyRecord | None = None
        ) -> messages.SettleAnswer:
            return messages.SettleAnswer(m.request_id, verdict, record)

        slot = self.owned.get(m.slot)
        if slot is None:
            self.ctx.send(sender, answer(messages.Verdict.MOVED))
            return
        known = slot.table.get(m.workspace, m.key)
        if known is None:
            # The sender can't know whether another node ran it.
            if m.state is data.KeyState.REFUSED:
                self.ctx.send(sender, answer(messages.Verdict.UNCERTAIN))
                return
            known = data.KeyRecord(
                m.workspace, m.key, m.request_id, sender, 0, data.KeyState.GRANTED, m.attempt
            )
        elif self._is_pending(slot, known):
            self.ctx.send(sender, answer(messages.Verdict.MOVED))
            return
        elif known.request_id != m.request_id or m.attempt < known.attempt:
            self.ctx.count("stale_replies", m.workspace, "settle")
            self.ctx.send(sender, answer(messages.Verdict.EXISTS, known))
            return
        elif known.state is not data.KeyState.GRANTED:
            same = known.state is m.state
            verdict = messages.Verdict.GRANTED if same else messages.Verdict.EXISTS
            self.ctx.send(sender, answer(verdict, known))
            return
        record = dataclasses.replace(known, state=m.state, reply=m.reply, attempt=m.attempt)
        granted = answer(messages.Verdict.GRANTED, dataclasses.replace(record, reply=None))
        self._commit(slot, record, sender, granted, answer(messages.Verdict.CANNOT))

    def rehome(self, sender: str, m: messages.Rehome) -> None:
        """Make the sender the home of a repeatable request."""

        def answer(
            verdict: messages.Verdict, record: data.KeyRecord | None = None
        ) -> messages.RehomeAnswer:
            return messages.RehomeAnswer(m.request_id, verdict, record)

        slot = self.owned.get(m.slot)
        if slot is None:
            self.ctx.send(sender, answer(messages.Verdict.MOVED))
            return
        known = slot.table.get(m.workspace, m.key)
        if known is not None:
            if self._is_pending(slot, known):
                self.ctx.send(sender, answer(messages.Verdict.MOVED))
                return
            if known.home == sender and known.attempt == m.attempt:
                self.ctx.send(sender, answer(messages.Verdict.GRANTED, known))
                return
            ended = known.state is not data.KeyState.GRANTED
            if known.request_id != m.request_id or ended or m.attempt <= known.attempt:
                self.ctx.send(sender, answer(messages.Verdict.EXISTS, known))
                return
        record = data.KeyRecord(
            m.workspace,
            m.key,
            m.request_id,
            sender,
            m.fingerprint,
            data.KeyState.GRANTED,
            m.attempt,
            copied=m.copied,
        )
        granted = answer(messages.Verdict.GRANTED, record)
        self._commit(slot, record, sender, granted, answer(messages.Verdict.CANNOT))

    def lookup(self, sender: str, m: messages.Lookup) -> None:
        """Answer with a key's record."""
        slot = self.owned.get(m.slot)
        record = slot.table.get(m.workspace, m.key) if slot else None
        if slot is None or (record is not None and self._is_pending(slot, record)):
            verdict = messages.Verdict.MOVED
            record = None
        elif record is not None:
            verdict = messages.Verdict.EXISTS
        elif keys.issued_epoch(m.key) < slot.uncertain_epoch:
            verdict = messages.Verdict.UNCERTAIN
        else:
            verdict = messages.Verdict.ABSENT
        self.ctx.send(sender, messages.LookupAnswer(m.lookup_id, verdict, record))

    def _is_pending(self, slot: slots.OwnedSlot, record: data.KeyRecord) -> bool:
        return (record.workspace, record.key) in slot.pending

    def _commit(
        self,
        slot: slots.OwnedSlot,
        record: data.KeyRecord,
        to_node: str,
        answer: messages.AnyMessage,
        failure: messages.AnyMessage,
    ) -> None:
        self.operation += 1
        now = self.ctx.now()
        previous = slot.table.get(record.workspace, record.key)
        kept = slot.table.put(record, now)
        operation = slots.Operation(
            self.operation, kept, to_node, answer, failure, now, previous=previous
        )
        slot.operations[operation.number] = operation
        slot.pending.add((record.workspace, record.key))
        self._replicate(slot, operation)

    def _replicate(self, slot: slots.OwnedSlot, operation: slots.Operation) -> None:
        message = messages.Replicate(slot.number, slot.epoch, operation.number, operation.record)
        for node in (slot.successor, slot.candidate):
            if node and node not in operation.acks:
                self.ctx.send(node, message)

    def _required(self, slot: slots.OwnedSlot) -> set[str]:
        """Return the nodes that must acknowledge a record; empty without a successor.

        Both must while a change of successor is unresolved, as either may take over.
        """
        if not slot.successor:
            return set()
        required = {slot.successor}
        if self.writer.purpose(slot.number) is slots.Purpose.SWITCH:
            required.add(slot.candidate)
        return required

    def _release_permitted(self, slot: slots.OwnedSlot, operations: list[slots.Operation]) -> None:
        required = self._required(slot)
        for operation in operations:
            acknowledged = bool(required) and required <= operation.acks
            if acknowledged or operation.stored:
                self._finish(slot, operation)
                self.ctx.send(operation.to_node, operation.answer)

    def _finish(self, slot: slots.OwnedSlot, operation: slots.Operation) -> None:
        del slot.operations[operation.number]
        slot.pending.discard((operation.record.workspace, operation.record.key))

    def replicate(self, sender: str, m: messages.Replicate) -> None:
        """Store an owner's record, unless this node lacks the table."""
        held = self.held.get(m.slot)
        if held is None or held.epoch != m.epoch or held.owner != sender:
            self.ctx.send(sender, messages.NoTable(m.slot, m.epoch))
            return
        if held.sealed or held.closed:
            return
        held.table.put(m.record, self.ctx.now())
        self.ctx.send(sender, messages.Replicated(m.slot, m.epoch, m.operation))

    def replicated(self, sender: str, m: messages.Replicated) -> None:
        """Register a successor's acknowledgement."""
        slot = self.owned.get(m.slot)
        if slot is None or slot.epoch != m.epoch:
            return
        operation = slot.operations.get(m.operation)
        if operation is not None:
            operation.acks.add(sender)
            self._release_permitted(slot, [operation])

    def no_table(self, sender: str, m: messages.NoTable) -> None:
        """Copy the table to a successor that lacks it."""
        slot = self.owned.get(m.slot)
        if slot is None or slot.epoch != m.epoch or sender != slot.successor or slot.candidate:
            return
        self._start_copy(slot, sender)

    def table_copy(self, sender: str, m: messages.TableCopy) -> None:
        """Store a slot's table, to become its successor."""
        held = self.held.get(m.slot)
        if held is not None:
            if held.epoch > m.epoch or (held.epoch == m.epoch and held.closed):
                return
            if held.epoch == m.epoch and held.copy >= m.copy:
                if held.copy == m.copy:
                    self.ctx.send(sender, messages.TableCopied(m.slot, m.epoch, m.copy))
                return
            if self.writer.busy(m.slot):
                return
        if m.slot in self.owned:
            if self.owned[m.slot].epoch >= m.epoch:
                return
            self._depose(m.slot)
        table = keys.Table()
        for record in m.records:
            table.put(record, self.ctx.now())
        self.held[m.slot] = slots.HeldSlot(m.slot, m.epoch, sender, table, m.copy)
        self.ctx.send(sender, messages.TableCopied(m.slot, m.epoch, m.copy))

    def table_copied(self, sender: str, m: messages.TableCopied) -> None:
        """Promote a candidate with the table to successor."""
        slot = self.owned.get(m.slot)
        if slot is None or slot.epoch != m.epoch:
            return
        if sender == slot.candidate and m.copy == slot.copy:
            slot.copied = True
            self._switch_successor(slot)

    def _choose_successor(self, slot: slots.OwnedSlot) -> str:
        elsewhere = self.membership.live(other_than_data_centre=self.ctx.data_centre)
        candidates = elsewhere or self.membership.live()
        ranked = hashing.rendezvous(slots.object_name(slot.number), candidates)
        for node in ranked:
            if node != self.ctx.node:
                return node
        return ""

    def _update_successor(self, slot: slots.OwnedSlot) -> None:
        now = self.ctx.now()
        if slot.candidate:
            if slot.copied:
                self._switch_successor(slot)
            elif now - slot.copy_started_ms > COPY_TIMEOUT_MS:
                self._drop_candidate(slot)
            return
        state = self.membership.state(slot.successor) if slot.successor else data.NodeState.GONE
        fit = state in (data.NodeState.LIVE, data.NodeState.SUSPECT, data.NodeState.JOINING)
        if fit and self.membership.data_centre(slot.successor) == self.ctx.data_centre:
            fit = not self.membership.live(other_than_data_centre=self.ctx.data_centre)
        settled = slot.uncertain_epoch == slot.persisted_uncertain_epoch
        if fit and settled and len(slot.object_records) <= STORED_LIMIT // 2:
            return
        chosen = self._choose_successor(slot)
        if chosen:
            self._start_copy(slot, chosen)

    def _start_copy(self, slot: slots.OwnedSlot, node: str) -> None:
        if self.writer.purpose(slot.number) is slots.Purpose.SWITCH:
            return
        slot.candidate = node
        slot.copy += 1
        slot.copied = False
        slot.copy_started_ms = self.ctx.now()
        slot.copy_first_operation = self.operation + 1
        self._send_copy(slot)

    def _send_copy(self, slot: slots.OwnedSlot) -> None:
        records = slot.table.listing()
        message = messages.TableCopy(slot.number, slot.epoch, slot.copy, records)
        self.ctx.send(slot.candidate, message)

    def _drop_candidate(self, slot: slots.OwnedSlot) -> None:
        if self.writer.purpose(slot.number) is not slots.Purpose.SWITCH:
            slot.candidate = ""
            slot.copied = False

    def _switch_successor(self, slot: slots.OwnedSlot) -> None:
        if self.writer.busy(slot.number):
            return
        settled = slot.uncertain_epoch == slot.persisted_uncertain_epoch
        if slot.candidate == slot.successor and settled and not slot.object_records:
            self._drop_candidate(slot)
            return
        # Earlier records are part of the copied table; the candidate may lack later ones.
        kept = {n: r for n, r in slot.object_records.items() if n >= slot.copy_first_operation}
        self._write(slot, slots.Purpose.SWITCH, successor=slot.candidate, records=kept)

    def _write(
        self,
        slot: slots.OwnedSlot,
        purpose: slots.Purpose,
        successor: str,
        records: dict[int, data.KeyRecord],
    ) -> None:
        slot.object_records_in_flight = records
        copied = purpose is slots.Purpose.SWITCH
        uncertain = slot.uncertain_epoch if copied else slot.persisted_uncertain_epoch
        wanted = data.SlotObject(
            slot.epoch,
            self.ctx.node,
            successor,
            uncertain,
            tuple(dataclasses.replace(record, reply=None) for record in records.values()),
        )
        self.writer.write(slot.number, purpose, wanted, slot.version)

    def _store_records(self, slot: slots.OwnedSlot) -> None:
        """Store unacknowledged records in the slot's object."""
        now = self.ctx.now()
        if self.writer.busy(slot.number) or now - slot.last_store_ms < STORE_INTERVAL_MS:
            return
        state = self.membership.state(slot.successor) if slot.successor else data.NodeState.GONE
        ack_wait_ms = ACK_WAIT_MS if state is data.NodeState.LIVE else 0
        waiting = {
            op.number: op.record
            for op in slot.operations.values()
            if now - op.started_ms >= ack_wait_ms and not op.stored
        }
        if not waiting:
            return
        free_records = STORED_LIMIT - len(slot.object_records)
        chosen = dict(list(waiting.items())[: max(0, free_records)])
        if not chosen:
            return
        slot.last_store_ms = now
        records = {**slot.object_records, **chosen}
        self._write(slot, slots.Purpose.STORE, slot.successor, records)

    def _check_held(self) -> None:
        for held in list(self.held.values()):
            if held.closed or held.sealed or self.writer.busy(held.number):
                continue
            state = self.membership.state(held.owner)
            # A leaving successor takes over from a lost owner to hand the slot on.
            leaving = state is data.NodeState.LEAVING and not self.membership.leaving
            if leaving or state is data.NodeState.GONE:
                self.writer.load(held.number)

    def _owner_is_unavailable(self, owner: str) -> bool:
        return self.membership.state(owner) in (data.NodeState.GONE, data.NodeState.LEAVING)

    def _check_takeovers(self) -> None:
        now = self.ctx.now()
        if now < self.next_orphan_check_ms:
            return
        self.next_orphan_check_ms = now + ORPHAN_CHECK_MS
        self._check_held()
        if not self.membership.leaving:
            self._check_ownerless()

    def _check_ownerless(self) -> None:
        live = self.membership.live()
        for number in range(keys.SLOTS):
            route = self.routes.get(number)
            served = route is not None and not self._owner_is_unavailable(route.owner)
            if served or number in self.owned:
                continue
            first = hashing.rendezvous(slots.object_name(number), live)[0]
            if first == self.ctx.node and not self.writer.busy(number):
                self.writer.load(number)

    def loaded(self, number: int, version: int, found: data.SlotObject | None) -> None:
        """Decide on a takeover after reading a slot's object."""
        if number in self.owned:
            return
        if found is None:
            first = data.SlotObject(1, self.ctx.node, "")
            self.writer.write(number, slots.Purpose.TAKE_OVER, first, 0)
            return
        held = self.held.get(number)
        if held is not None and held.epoch < found.epoch:
            held.closed = True
            held = None
        if not self._owner_is_unavailable(found.owner):
            self._learn_route(number, found.epoch, found.owner)
            return
        if held is not None and not held.closed and found.successor == self.ctx.node:
            self._take_over_as_successor(held, version, found)
        elif self._is_orphan(found) and not self.membership.leaving:
            self._take_over_orphan(number, version, found)

    def _is_orphan(self, found: data.SlotObject) -> bool:
        """Return whether owner and successor are both confirmed gone.

        If only unreachable, both may serve the slot, and a takeover would make its keys uncertain.
        """
        pair = (found.owner, found.successor)
        return all(self.membership.confirmed_gone(node) for node in pair if node)

    def _take_over_as_successor(
        self, held: slots.HeldSlot, version: int, found: data.SlotObject
    ) -> None:
        # Sealed before the write: records acknowledged later might be missing from the new table.
        held.sealed = True
        wanted = dataclasses.replace(
            found, epoch=found.epoch + 1, owner=self.ctx.node, successor=""
        )
        self.writer.write(held.number, slots.Purpose.TAKE_OVER, wanted, version)

    def _take_over_orphan(self, number: int, version: int, found: data.SlotObject) -> None:
        epoch = found.epoch + 1
        wanted = data.SlotObject(epoch, self.ctx.node, "", epoch, found.records)
        self.writer.write(number, slots.Purpose.TAKE_OVER, wanted, version)

    def load_failed(self, number: int) -> None:
        """Do nothing; the next check reads again."""

    def written(
        self, number: int, purpose: slots.Purpose, version: int, landed: data.SlotObject
    ) -> None:
        """Apply a successful write."""
        if purpose is slots.Purpose.TAKE_OVER:
            self._start_owning(number, version, landed)
            return
        slot = self.owned.get(number)
        if slot is None:
            return
        slot.version = version
        slot.persisted_uncertain_epoch = landed.uncertain_epoch
        slot.object_records = dict(slot.object_records_in_flight)
        if purpose is slots.Purpose.SWITCH:
            slot.successor = landed.successor
            self._drop_candidate(slot)
        if purpose is slots.Purpose.STORE:
            for operation in slot.operations.values():
                if operation.number in slot.object_records:
                    operation.stored = True
        self._release_permitted(slot, list(slot.operations.values()))

    def _start_owning(self, number: int, version: int, landed: data.SlotObject) -> None:
        held = self.held.pop(number, None)
        records: list[data.KeyRecord] = []
        # A table of any other epoch may be stale.
        if held is not None and held.epoch == landed.epoch - 1:
            records = held.table.listing()
        table = keys.Table(records)
        table.merge(list(landed.records), self.ctx.now())
        slot = slots.OwnedSlot(
            number,
            landed.epoch,
            version,
            "",
            table,
            uncertain_epoch=landed.uncertain_epoch,
            persisted_uncertain_epoch=landed.uncertain_epoch,
            certain_at_ms=self.ctx.now() + keys.RETENTION_MS,
        )
        for record in landed.records:
            self.operation += 1
            slot.object_records[self.operation] = record
        self.owned[number] = slot
        self._learn_route(number, landed.epoch, self.ctx.node)
        self.ctx.count("slot_takeovers", label="uncertain" if landed.uncertain_epoch else "whole")
        why = "it had no owner yet" if landed.epoch == 1 else "its owner is out"
        self.ctx.note(None, "slot", f"own slot {number} at epoch {landed.epoch}", why)
        self._update_successor(slot)

    def conflicted(
        self, number: int, purpose: slots.Purpose, version: int, found: data.SlotObject
    ) -> None:
        """Handle a preempted write."""
        if purpose is slots.Purpose.TAKE_OVER:
            held = self.held.get(number)
            if held is not None:
                held.sealed = False
                held.closed = held.closed or held.epoch < found.epoch
            if not self._owner_is_unavailable(found.owner):
                self._learn_route(number, found.epoch, found.owner)
            return
        slot = self.owned.get(number)
        if slot is None:
            return
        if found.epoch > slot.epoch or found.owner != self.ctx.node:
            self._depose(number)
            self._learn_route(number, found.epoch, found.owner)
        else:
            slot.version = version
            slot.successor = found.successor

    def not_written(self, number: int, purpose: slots.Purpose) -> None:
        """Unseal the slot after an unwritten takeover."""
        if purpose is slots.Purpose.TAKE_OVER:
            held = self.held.get(number)
            if held is not None:
                held.sealed = False

    def _depose(self, number: int) -> None:
        """Stop owning a slot and keep its table closed."""
        slot = self.owned.pop(number)
        for operation in slot.operations.values():
            assert isinstance(operation.failure, Failable)
            moved = msgspec.structs.replace(operation.failure, verdict=messages.Verdict.MOVED)
            self.ctx.send(operation.to_node, moved)
        self.held[number] = slots.HeldSlot(
            number, slot.epoch, self.ctx.node, slot.table, closed=True
        )
        self.ctx.note(None, "slot", f"gave up slot {number}", "a higher epoch rules it")

    def _end_uncertainty(self, slot: slots.OwnedSlot) -> None:
        """End the uncertainty after the retry period of older keys."""
        if slot.uncertain_epoch and self.ctx.now() >= slot.certain_at_ms:
            slot.uncertain_epoch = 0

    def _learn_route(self, number: int, epoch: int, owner: str) -> None:
        known = self.routes.get(number)
        if known is None or epoch >= known.epoch:
            self.routes[number] = slots.Route(epoch, owner, self.ctx.now())

    def apply_heartbeat(self, sender: str, owned: list[tuple[int, int]]) -> None:
        """Update slot owners from a heartbeat."""
        for number, epoch in owned:
            mine = self.owned.get(number)
            if mine is not None and mine.epoch < epoch:
                self._depose(number)
            held = self.held.get(number)
            if held is not None and held.epoch < epoch:
                held.closed = True
            self._learn_route(number, epoch, sender)

    def owner_of(self, slot: int) -> slots.Route | None:
        """Return a slot's owner, or None if unknown."""
        return self.routes.get(slot)

    def owned_list(self) -> list[tuple[int, int]]:
        """Return this node's slots with their epochs."""
        return [(slot.number, slot.epoch) for slot in self.owned.values()]

    def has_no_slots(self) -> bool:
        """Return whether this node owns no slot."""
        return not self.owned

    def tick(self) -> None:
        """Resend, time out operations, and check for takeovers."""
        now = self.ctx.now()
        self.writer.tick()
        resend = now >= self.next_resend_ms
        if resend:
            self.next_resend_ms = now + RESEND_MS
        for slot in list(self.owned.values()):
            # Idle slots are updated only at the resend interval.
            if resend or slot.operations or slot.candidate:
                self._update_owned(slot, resend)
        self._check_takeovers()

    def _update_owned(self, slot: slots.OwnedSlot, resend: bool) -> None:
        if resend:
            slot.table.expire(self.ctx.now())
            self._end_uncertainty(slot)
            self._resend(slot)
        self._fail_old_operations(slot)
        self._update_successor(slot)
        self._store_records(slot)

    def _resend(self, slot: slots.OwnedSlot) -> None:
        for operation in slot.operations.values():
            self._replicate(slot, operation)
        if slot.candidate and not slot.copied:
            self._send_copy(slot)

    def _fail_old_operations(self, slot: slots.OwnedSlot) -> None:
        now = self.ctx.now()
        for operation in list(slot.operations.values()):
            if now - operation.started_ms < OPERATION_TIMEOUT_MS:
                continue
            self._finish(slot, operation)
            self._undo(slot, operation)
            self.ctx.count("permissions_failed", operation.record.workspace)
            self.ctx.send(operation.to_node, operation.failure)

    def _undo(self, slot: slots.OwnedSlot, operation: slots.Operation) -> None:
        """Roll back a record that did not become durable.

        That a request may have run stays recorded; an unreplicated grant or refusal may be lost
        with this node and must not be reported.
        """
        record = operation.record
        if record.state in (data.KeyState.DONE, data.KeyState.UNKNOWN):
            return
        if operation.previous is not None:
            slot.table.put(operation.previous, self.ctx.now())
        else:
            slot.table.drop(record.workspace, record.key)


def _is_granted_to(record: data.KeyRecord, home: str, request_id: str) -> bool:
    granted = record.state is data.KeyState.GRANTED
    return granted and record.home == home and record.request_id == request_id


def _verdict_on_known(record: data.KeyRecord, sender: str, m: messages.Claim) -> messages.Verdict:
    """Return the verdict on a recorded key."""
    if record.request_id != m.request_id:
        known = record.fingerprint and m.fingerprint
        if known and record.fingerprint != m.fingerprint:
            return messages.Verdict.CONFLICT
        return messages.Verdict.EXISTS
    if m.refuse:
        settled = record.state is data.KeyState.REFUSED
        return messages.Verdict.GRANTED if settled else messages.Verdict.EXISTS
    granted = _is_granted_to(record, sender, m.request_id)
    return messages.Verdict.GRANTED if granted else messages.Verdict.EXISTS
