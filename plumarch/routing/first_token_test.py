"""The time of a first token, learned from those seen."""

from plumarch.routing import first_token


def test_it_learns_the_time_of_a_prompt_token():
    estimate = first_token.FirstTokenEstimate()
    for _ in range(200):
        estimate.observe(10_000, first_token.BASE_MS + 2_000)
    assert abs(estimate.ms_per_token - 0.2) < 0.001
    assert abs(estimate.expect_ms(5_000) - (first_token.BASE_MS + 1_000)) < 10


def test_short_prompts_teach_nothing_and_wild_times_are_bounded():
    estimate = first_token.FirstTokenEstimate()
    estimate.observe(10, 60_000)
    assert estimate.ms_per_token == first_token.START_MS_PER_TOKEN
    for _ in range(500):
        estimate.observe(1_000, 1e9)
    assert estimate.ms_per_token <= first_token.HIGHEST_MS_PER_TOKEN
    for _ in range(500):
        estimate.observe(1_000, 0)
    assert estimate.ms_per_token >= first_token.LOWEST_MS_PER_TOKEN
