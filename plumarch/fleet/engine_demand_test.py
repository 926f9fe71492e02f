"""Tests of engine demand by prompt reading and capacity."""

import pytest

from plumarch.core import clock
from plumarch.fleet import engine_demand


def test_long_prompts_are_bound_by_reading():
    engines = engine_demand.engines_for(100_000, 0.0064, running=5, capacity=128)
    assert engines == 0.64 / engine_demand.MAX_READ_FRACTION


def test_long_answers_are_bound_by_capacity():
    engines = engine_demand.engines_for(1_000, 0.0064, running=100, capacity=24)
    assert engines == 100 / (24 * engine_demand.MAX_CAPACITY_FRACTION)


def test_faster_engines_need_fewer():
    slow = engine_demand.engines_for(50_000, 0.031, 5, 128)
    fast = engine_demand.engines_for(50_000, 0.0062, 5, 128)
    assert fast * 5 == pytest.approx(slow)


def test_the_unread_fraction_follows_sent_requests():
    time = clock.ManualClock()
    work = engine_demand.SentWork(time)
    assert work.reading("s").unread_per_unit() == 1.0
    for _ in range(10):
        work.sent("s", 1_000, 800)
    assert abs(work.reading("s").unread_per_unit() - 0.8) < 0.01
    time.advance_to(time.now() + 80_000)
    for _ in range(10):
        work.sent("s", 1_000, 200)
    assert abs(work.reading("s").unread_per_unit() - 0.2) < 0.01


def test_charged_units_are_shared_by_services():
    work = engine_demand.SentWork(clock.ManualClock())
    work.sent("one", 1_000, 500)
    work.sent("two", 1_000, 1_000)
    assert work.reading("one").unread_per_unit() == 0.25
    assert work.reading("two").unread_per_unit() == 0.5
    assert work.reading("three").unread_per_unit() == 0.0


def test_sent_tokens_are_counted_without_charges():
    time = clock.ManualClock()
    work = engine_demand.SentWork(time)
    for _ in range(600):
        time.advance_to(time.now() + 100)
        work.sent("s", 0.0, 500)
    assert work.unread_per_s("s") == pytest.approx(5_000, rel=0.05)
