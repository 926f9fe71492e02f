"""Learned engine speed is not distorted by slow, cold and reclaimed engines."""

import random

import pytest

from plumarch.routing import engine_speed


def learned(ms_per_token: float, base_ms: float, grey: float = 0.0) -> engine_speed.EngineSpeed:
    """Return the speed learned from engines, a fraction of which takes ten times as long."""
    rng = random.Random(1)
    speed = engine_speed.EngineSpeed()
    for _ in range(400):
        slow = 10.0 if rng.random() < grey else 1.0
        speed.first_token(100, base_ms * slow * rng.uniform(0.9, 1.1))
        tokens = rng.uniform(1_000, 20_000)
        speed.first_token(tokens, base_ms + slow * ms_per_token * tokens * rng.uniform(0.9, 1.2))
    return speed


def test_engines_of_any_speed_are_learned():
    for ms_per_token, base_ms in ((0.0064, 30.0), (0.031, 60.0), (0.2, 200.0)):
        speed = learned(ms_per_token, base_ms)
        assert 0.8 * ms_per_token < speed.typical.value < 1.35 * ms_per_token
        assert 0.8 * base_ms < speed.base_ms.value < 1.25 * base_ms


def test_some_slow_engines_do_not_change_the_typical_speed():
    speed = learned(0.0064, 30.0, grey=0.25)
    assert speed.typical.value < 1.5 * 0.0064
    assert speed.mean_ms_per_token() > 2.0 * 0.0064


def test_twenty_first_tokens_replace_the_initial_value():
    speed = engine_speed.EngineSpeed()
    for _ in range(engine_speed.KNOWN_AFTER - 1):
        speed.first_token(10_000, engine_speed.START_BASE_MS + 64)
    assert not speed.known()
    speed.first_token(10_000, engine_speed.START_BASE_MS + 64)
    assert speed.known()
    assert speed.typical.value < 0.2 * engine_speed.START_MS_PER_TOKEN


def test_the_mean_follows_current_conditions():
    speed = engine_speed.EngineSpeed()
    for _ in range(200):
        speed.first_token(10_000, engine_speed.START_BASE_MS + 2_000)
    assert abs(speed.mean_ms_per_token() - 0.2) < 0.01
    assert abs(speed.expect_ms(5_000, 0.0) - (speed.base_ms.value + 1_000)) < 20


def test_one_short_prompt_that_waited_hardly_changes_the_mean():
    speed = learned(0.0064, 30.0)
    before = speed.mean_ms_per_token()
    speed.first_token(900, 1_500)
    assert speed.mean_ms_per_token() < 2.5 * before


def test_short_prompts_do_not_change_the_time_per_token():
    speed = engine_speed.EngineSpeed()
    speed.first_token(engine_speed.MIN_TOKENS - 1, 10_000)
    assert speed.typical.value == engine_speed.START_MS_PER_TOKEN


def test_learned_values_stay_within_bounds():
    speed = engine_speed.EngineSpeed()
    for _ in range(300):
        speed.first_token(1_000, 10_000_000)
    assert speed.typical.value <= engine_speed.MAX_MS_PER_TOKEN
    for _ in range(600):
        speed.first_token(1_000_000, 0)
    assert speed.typical.value >= engine_speed.MIN_MS_PER_TOKEN


def test_the_wait_at_a_full_engine_follows_its_run_time():
    speed = engine_speed.EngineSpeed()
    for _ in range(10):
        speed.ended(1_200)
    assert speed.capacity_wait_ms(running=23, slots=24) == 0
    assert speed.capacity_wait_ms(running=24, slots=24) == pytest.approx(1_200 / 24)
    assert speed.capacity_wait_ms(running=26, slots=24) == pytest.approx(3 * 1_200 / 24)
