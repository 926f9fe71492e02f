"""The fleet never exceeds its budget of repeats, in any order of sends."""

import hypothesis
from hypothesis import strategies

from plumarch.core import clock
from plumarch.limits import attempt_budget

RATIO, EXTRA, WINDOW_MS, NODES = 0.2, 40.0, 10_000, 4


def budget_of(time: clock.Clock) -> attempt_budget.AttemptBudget:
    return attempt_budget.AttemptBudget(time, WINDOW_MS, RATIO, EXTRA, nodes=NODES)


def test_a_node_may_spend_its_share_of_the_extra_and_no_more():
    budget = budget_of(clock.ManualClock())
    taken = [budget.take("s") for _ in range(20)]
    assert taken.count(True) == int(0.8 * EXTRA / NODES)


def test_first_sends_earn_repeats_until_they_leave_the_window():
    time = clock.ManualClock()
    budget = budget_of(time)
    for _ in range(100):
        budget.record_first_send("s")
    assert sum(budget.take("s") for _ in range(100)) == int(0.8 * (0.2 * 100 + 10))
    time.advance_to(WINDOW_MS + 1)
    assert sum(budget.take("s") for _ in range(100)) == int(0.8 * 10)


def test_services_have_budgets_of_their_own():
    budget = budget_of(clock.ManualClock())
    while budget.take("a"):
        pass
    assert budget.take("b")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, NODES - 1),
            strategies.sampled_from(["first", "again", "again", "wait", "restart"]),
        ),
        max_size=300,
    )
)
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
def test_the_fleet_never_exceeds_its_budget_in_any_window(steps: list[tuple[int, str]]):
    """Restarted nodes begin with no first sends; at most two of each node restart in a window."""
    time = clock.ManualClock()
    nodes = [budget_of(time) for _ in range(NODES)]
    restarts = [0] * NODES
    firsts: list[int] = []
    repeats: list[int] = []
    for node, action in steps:
        if action == "first":
            nodes[node].record_first_send("s")
            firsts.append(time.now())
        elif action == "again":
            if nodes[node].take("s"):
                repeats.append(time.now())
        elif action == "wait":
            time.advance_to(time.now() + 400)
        elif restarts[node] == 0:
            restarts[node] += 1
            nodes[node] = budget_of(time)
    for end in repeats:
        begin = end - WINDOW_MS
        spent = sum(1 for when in repeats if begin < when <= end)
        earned = sum(1 for when in firsts if begin - WINDOW_MS < when <= end)
        part = EXTRA / NODES
        assert spent <= RATIO * earned + EXTRA + sum(restarts) * part
