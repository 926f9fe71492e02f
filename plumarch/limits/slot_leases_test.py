"""A node's leased slots at fragile endpoints."""

import dataclasses

from plumarch.core import clock
from plumarch.limits import slot_allocator, slot_leases

USE = slot_leases.SlotUse("e", slots=6, running=0, reported=0, rejections_per_s=2.0)


def new_leases(nodes: int = 4) -> tuple[slot_leases.SlotLeases, clock.ManualClock]:
    now = clock.ManualClock(10_000)
    return slot_leases.SlotLeases(now, "a", nodes), now


def answer(leases: slot_leases.SlotLeases, granted: int, running: int = 0) -> bool:
    sequence = leases.known["e"].sequence
    return leases.answered(slot_allocator.SlotAnswer("e", sequence, granted), running)


def test_a_request_needs_a_leased_slot():
    leases, now = new_leases()
    assert not leases.may_send(USE)
    assert leases.request(USE, 1) is not None
    assert not leases.may_send(USE)
    assert answer(leases, 1)
    assert leases.may_send(USE)
    assert not leases.may_send(dataclasses.replace(USE, running=1))
    now.advance_to(now.now() + slot_leases.VALID_MS)
    assert not leases.may_send(USE)


def test_one_request_is_pending_at_a_time():
    leases, now = new_leases()
    assert leases.request(USE, 1) is not None
    assert leases.request(USE, 1) is None
    now.advance_to(now.now() + slot_leases.ANSWER_MS)
    assert leases.request(USE, 1) is not None


def test_only_the_answer_to_the_last_request_counts():
    leases, _ = new_leases()
    first = leases.report(USE, 1)
    leases.report(USE, 0)
    assert not leases.answered(slot_allocator.SlotAnswer("e", first.sequence, 3), 0)
    assert not leases.may_send(USE)


def test_slots_are_denied_only_to_a_request_for_some():
    leases, now = new_leases()
    leases.report(USE, 0)
    answer(leases, 0)
    assert not leases.is_denied("e")
    leases.request(USE, 1)
    answer(leases, 0)
    assert leases.is_denied("e")
    assert leases.request(USE, 1) is None
    now.advance_to(now.now() + slot_leases.DENIED_MS)
    assert leases.request(USE, 1) is not None


def test_without_an_allocator_a_node_sends_while_much_is_free():
    leases, now = new_leases()
    leases.request(USE, 1)
    now.advance_to(now.now() + slot_leases.UNRESPONSIVE_MS)
    assert leases.may_send(USE)
    assert not leases.may_send(dataclasses.replace(USE, reported=3))


def test_without_an_allocator_all_nodes_together_cause_few_rejections():
    leases, now = new_leases(nodes=4)
    leases.request(USE, 1)
    now.advance_to(now.now() + slot_leases.UNRESPONSIVE_MS)
    leases.rejected("e")
    assert not leases.may_send(USE)
    now.advance_to(now.now() + 2_000)
    assert leases.may_send(USE)


def test_rejections_are_reported_once():
    leases, _ = new_leases()
    leases.rejected("e")
    assert leases.report(USE).rejected == 1
    assert leases.report(USE).rejected == 0


def test_a_lost_return_of_slots_is_repeated():
    leases, now = new_leases()
    leases.report(USE)
    assert not leases.is_renewal_due(USE)
    now.advance_to(now.now() + slot_leases.ANSWER_MS)
    assert leases.is_renewal_due(USE)
    leases.report(USE)
    answer(leases, 0)
    now.advance_to(now.now() + slot_leases.ANSWER_MS)
    assert not leases.is_renewal_due(USE)


def test_leases_in_use_are_renewed():
    leases, now = new_leases()
    used = dataclasses.replace(USE, running=1)
    leases.request(USE, 1)
    answer(leases, 1)
    assert not leases.is_renewal_due(used)
    now.advance_to(now.now() + slot_leases.RENEWAL_MS)
    assert leases.is_renewal_due(used)
    assert not leases.is_renewal_due(USE)
    assert leases.has_surplus(USE)


def test_a_restarted_node_is_leased_free_slots_at_once():
    """The allocator took its first requests for old ones of the process before."""
    leases, now = new_leases()
    allocator = slot_allocator.SlotAllocator(now)
    for _ in range(3):
        allocator.allocate(leases.report(USE), 1.0, 0)
    now.advance_to(now.now() + slot_leases.ANSWER_MS)
    restarted = slot_leases.SlotLeases(now, "a")
    request = restarted.request(USE, 1)
    assert request is not None
    restarted.answered(allocator.allocate(request, 1.0, 0), 0)
    assert restarted.may_send(USE)
