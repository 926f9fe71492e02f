"""Reservations never exceed the limits."""

import random

import hypothesis
from hypothesis import strategies

from plumarch.limits import memory_account
from plumarch.limits.memory_account import Purpose, Reservation

BUDGET = 120 * 2**20
LIMIT_MB = 200


def answers(connection: object, size: int, account: memory_account.MemoryAccount) -> Reservation:
    reservation = Reservation(connection, "", Purpose.UNREAD_ANSWERS)
    assert account.resize(reservation, size)
    return reservation


def test_the_budget_is_a_fraction_of_the_limit():
    assert memory_account.from_limit(LIMIT_MB).budget <= 0.6 * LIMIT_MB * 2**20


steps = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 5),
        strategies.integers(0, 2),
        strategies.sampled_from(list(Purpose)),
        strategies.integers(0, BUDGET),
        strategies.booleans(),
    ),
    max_size=80,
)


@hypothesis.given(steps)
@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
def test_bounds_hold_whatever_readers_sizes_and_ends_come(
    script: list[tuple[int, int, Purpose, int, bool]],
):
    rng = random.Random(len(script))
    account = memory_account.MemoryAccount(BUDGET)
    open_ones: dict[tuple[int, int, Purpose], Reservation] = {}
    for connection, space, purpose, size, turns in script:
        workspace = f"w{space}" if space else ""
        key = (connection, space, purpose)
        reservation = open_ones.setdefault(key, Reservation(connection, workspace, purpose))
        before = reservation.size
        assert account.resize(reservation, size) or reservation.size == before < size
        if turns:
            account.change_purpose(reservation, rng.choice(list(Purpose)))
            account.assign(reservation, rng.choice(["", "w1", "w2"]))
        check(account, list(open_ones.values()))
    for reservation in open_ones.values():
        assert account.resize(reservation, 0)
    assert account.total() == 0
    assert account.by_connection == account.by_workspace == account.answers_by_workspace == {}


def check(account: memory_account.MemoryAccount, reservations: list[Reservation]) -> None:
    total = sum(one.size for one in reservations)
    assert account.total() == total <= account.budget
    for purpose in Purpose:
        assert account.held[purpose] == sum(
            one.size for one in reservations if one.purpose is purpose
        )
    assert all(
        size <= memory_account.CONNECTION_FRACTION * BUDGET
        for size in account.by_connection.values()
    )
    unread = [one for one in reservations if one.purpose is Purpose.UNREAD_ANSWERS]
    for workspace in {one.workspace for one in reservations}:
        wanted = sum(one.size for one in unread if one.workspace == workspace)
        assert account.answers_by_workspace.get(workspace, 0) == wanted
    for workspace, size in account.by_workspace.items():
        assert not workspace or size <= memory_account.WORKSPACE_FRACTION * BUDGET


def test_streams_alone_never_fill_the_memory_for_answers():
    rng = random.Random(7)
    account = memory_account.MemoryAccount(BUDGET)
    streams = [Reservation(number, "", Purpose.UNREAD_ANSWERS) for number in range(500)]
    for _ in range(5_000):
        stream = rng.choice(streams)
        wanted = stream.size + rng.randrange(200_000)
        if wanted <= account.stream_bound(""):
            assert account.resize(stream, wanted)
        elif rng.random() < 0.1:
            account.resize(stream, 0)
        assert account.total() <= memory_account.ANSWERS_FRACTION * BUDGET


def test_the_bound_of_a_stream_falls_with_the_bytes_of_others():
    account = memory_account.MemoryAccount(BUDGET)
    alone = account.stream_bound("")
    answers("a", 10_000_000, account)
    beside = account.stream_bound("")
    answers("b", 10_000_000, account)
    assert alone > beside > account.stream_bound("") > 0


def test_a_large_answer_waits_for_others_and_is_accepted_alone():
    account = memory_account.MemoryAccount(BUDGET)
    first = answers("a", 15_000_000, account)
    second = Reservation("b", "", Purpose.UNREAD_ANSWERS)
    assert not account.answer_fits(second, 18_000_000)
    woken: list[bool] = []
    account.waiting.append(lambda: woken.append(account.answer_fits(second, 18_000_000)))
    account.resize(first, 0)
    assert woken == [True]
    assert account.waiting == []


def test_released_bytes_are_counted():
    account = memory_account.MemoryAccount(BUDGET)
    reservation = answers("a", 900, account)
    account.resize(reservation, 400)
    account.resize(reservation, 0)
    assert account.released == 900


def test_a_workspaces_slow_readers_leave_memory_to_others_and_block_no_small_answer():
    account = memory_account.MemoryAccount(BUDGET)
    for number in range(500):
        stream = Reservation(number, "w", Purpose.UNREAD_ANSWERS)
        while stream.size + 5_000 <= account.stream_bound("w"):
            assert account.resize(stream, stream.size + 5_000)
    assert account.stream_bound("v") >= 500_000
    slow = Reservation("x", "w", Purpose.UNREAD_ANSWERS)
    assert not account.answer_fits(slow, 4_000_000)
    assert account.answer_fits(slow, memory_account.SMALL_ANSWER_BYTES)
    assert account.answer_fits(Reservation("y", "v", Purpose.UNREAD_ANSWERS), 4_000_000)
