from plumarch.limits import retry_budget


def test_retries_are_a_tenth_of_first_tries_in_the_long_run() -> None:
    budget = retry_budget.RetryBudget()
    retries = 0
    for _ in range(1_000):
        budget.first_try("w")
        while budget.take("w"):
            retries += 1
    assert retries <= 1_000 * retry_budget.RETRIES_PER_REQUEST + retry_budget.INITIAL_RETRIES


def test_one_workspace_spends_nothing_of_another() -> None:
    budget = retry_budget.RetryBudget()
    while budget.take("a"):
        pass
    assert budget.take("b")
