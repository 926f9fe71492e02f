"""Near the budget the least urgent and the largest requests are rejected first."""

import hypothesis
from hypothesis import strategies

from plumarch.core import clock
from plumarch.limits import memory_account, memory_admission
from plumarch.limits.memory_admission import MemoryUsage

BUDGET = 1_000_000
shares = strategies.floats(0.0, 1.2)
ranks = strategies.integers(0, memory_admission.RANKS - 1)
sizes = strategies.integers(0, BUDGET)


def held(share: float) -> MemoryUsage:
    return MemoryUsage(round(share * BUDGET), BUDGET)


@hypothesis.given(shares, sizes, ranks, shares, sizes, ranks)
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_who_is_more_urgent_smaller_and_comes_at_less_pressure_is_never_worse_off(
    share: float, size: int, rank: int, other_share: float, other_size: int, other_rank: int
):
    low, high = sorted((share, other_share))
    small, large = sorted((size, other_size))
    first, last = sorted((rank, other_rank))
    if memory_admission.is_refused(held(low), small, first):
        assert memory_admission.is_refused(held(high), large, last)


@hypothesis.given(sizes, ranks)
@hypothesis.settings(derandomize=True, deadline=None)
def test_one_workspace_and_one_connection_beside_it_turn_nobody_away(size: int, rank: int):
    share = memory_account.WORKSPACE_FRACTION + memory_account.CONNECTION_FRACTION
    assert not memory_admission.is_refused(held(share), size, rank)


def test_all_are_refused_when_the_budget_is_nearly_full():
    assert memory_admission.is_refused(held(memory_admission.REFUSE_ALL), 0, 0)


def test_in_between_the_least_urgent_and_the_largest_are_refused():
    half = held((memory_admission.REFUSAL_START + memory_admission.REFUSE_ALL) / 2)
    assert not memory_admission.is_refused(half, 1_000, 0)
    assert memory_admission.is_refused(half, 1_000, 9)
    assert memory_admission.is_refused(half, BUDGET // 16, 0)


def test_the_return_time_follows_the_rate_at_which_bytes_are_released():
    steady = clock.ManualClock()
    admission = memory_admission.MemoryAdmission(steady)
    full = held(0.9)
    assert admission.refuse(full, 0, 0, 0) == memory_admission.MAX_RETRY_AFTER_MS
    steady.advance_to(2_000)
    # 0.2 of the budget is above REFUSAL_START, and 200 bytes are released per ms.
    assert admission.refuse(full, 0, 0, 400_000) == 1_000.0
    steady.advance_to(4_000)
    assert admission.refuse(full, 0, 0, 400_000) == memory_admission.MAX_RETRY_AFTER_MS


def test_below_the_start_all_are_accepted():
    admission = memory_admission.MemoryAdmission(clock.ManualClock())
    assert admission.refuse(held(0.69), BUDGET, 9, 0) is None
