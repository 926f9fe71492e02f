"""Leases of an endpoint's slots."""

import dataclasses

from plumarch.core import clock
from plumarch.limits import slot_allocator


def new_allocator() -> tuple[slot_allocator.SlotAllocator, clock.ManualClock]:
    now = clock.ManualClock(10_000)
    return slot_allocator.SlotAllocator(now), now


def request(node: str, running: int, wanted: int, sequence: int = 1) -> slot_allocator.SlotRequest:
    return slot_allocator.SlotRequest(node, "e", sequence, running, wanted, 0, 6, 4.0)


def test_leases_of_all_nodes_never_exceed_the_slots():
    allocator, _ = new_allocator()
    assert allocator.allocate(request("a", 0, 4), 1.0, 0).granted == 4
    assert allocator.allocate(request("b", 0, 4), 1.0, 0).granted == 2
    assert allocator.allocate(request("c", 0, 1), 1.0, 0).granted == 0


def test_returned_slots_are_leased_again():
    allocator, _ = new_allocator()
    allocator.allocate(request("a", 0, 6), 1.0, 0)
    allocator.allocate(request("a", 2, 0, sequence=2), 1.0, 0)
    assert allocator.allocate(request("b", 0, 9), 1.0, 0).granted == 4


def test_a_late_request_does_not_replace_a_newer_one():
    allocator, _ = new_allocator()
    allocator.allocate(request("a", 5, 0, sequence=7), 1.0, 0)
    allocator.allocate(request("a", 0, 0, sequence=6), 1.0, 0)
    assert allocator.allocate(request("b", 0, 6), 1.0, 0).granted == 1


def test_leases_of_a_node_that_is_gone_end():
    allocator, now = new_allocator()
    allocator.allocate(request("a", 6, 0), 1.0, 0)
    now.advance_to(now.now() + slot_allocator.LEASE_MS)
    assert allocator.allocate(request("b", 0, 6), 1.0, 0).granted == 6


def test_a_new_allocator_counts_reported_loads_of_other_nodes():
    allocator, now = new_allocator()
    assert allocator.allocate(request("a", 1, 6), 1.0, reported=5).granted == 2
    now.advance_to(now.now() + slot_allocator.LEARNING_MS)
    assert allocator.allocate(request("a", 1, 6, sequence=2), 1.0, reported=5).granted == 6


def test_each_side_of_a_partition_leases_its_part():
    allocator, _ = new_allocator()
    assert allocator.allocate(request("a", 0, 6), 0.5, 0).granted == 3


def test_rejections_stop_further_leases_for_a_while():
    allocator, now = new_allocator()
    allocator.allocate(request("a", 0, 4), 1.0, 0)
    rejected = dataclasses.replace(request("a", 3, 1, sequence=2), rejected=2)
    assert allocator.allocate(rejected, 1.0, 0).granted == 3
    assert allocator.allocate(request("b", 0, 1), 1.0, 0).granted == 0
    now.advance_to(now.now() + slot_allocator.REJECTION_WINDOW_MS)
    allocator.allocate(request("a", 0, 0, sequence=3), 1.0, 0)
    assert 1 <= allocator.allocate(request("b", 0, 6, sequence=2), 1.0, 0).granted < 6
    now.advance_to(now.now() + 4_000)
    assert allocator.allocate(request("b", 0, 6, sequence=3), 1.0, 0).granted == 6
