"""Tests of spot placements over regions."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from plumarch.fleet import engine_reserve

LOST = 1.5


def sites(
    shares: tuple[float, ...] = (1 / 3, 1 / 3, 1 / 3),
    prices: tuple[float, ...] = (1.0,) * 6,
    least: int = 1,
    most: int = 20,
) -> tuple[engine_reserve.Site, ...]:
    """Return two data centres for each region."""
    return tuple(
        engine_reserve.Site(f"{region}{number}", region, price, share, least, most)
        for (region, share), pair in zip(
            zip("nsw", shares, strict=True),
            zip(prices[::2], prices[1::2], strict=True),
            strict=True,
        )
        for number, price in enumerate(pair)
    )


def total(found: engine_reserve.Placement) -> int:
    return sum(count for _, count in found.counts)


def of_region(found: engine_reserve.Placement, region: str) -> int:
    return sum(count for name, count in found.counts if name.startswith(region))


def test_survivors_after_a_loss():
    assert engine_reserve.survivors([3, 2, 2], 1.0) == 4
    assert engine_reserve.survivors([3, 2, 2], 1.5) == 3
    assert engine_reserve.survivors([5], 1.5) == 5
    assert engine_reserve.survivors([4, 4], 1.5) == 4


@pytest.mark.parametrize(("needed", "evenly"), [(2, 6), (6, 12), (10, 18), (20, 30), (30, 42)])
def test_a_reserve_over_regions_is_no_larger_than_even_spreading(needed: int, evenly: int):
    assert evenly == math.ceil(needed / (6 - LOST)) * 6
    found = engine_reserve.placement(sites(), needed, LOST, 0.1)
    assert found.survivors >= needed
    assert total(found) <= evenly


def test_regions_share_the_reserve_of_small_services():
    found = engine_reserve.placement(sites(least=0), 6, LOST, 0.1)
    alone = engine_reserve.placement(sites(least=0), 6, LOST, 0.5)
    assert total(found) == 9
    assert total(alone) == 12
    assert found.cost < alone.cost


def test_each_region_covers_its_own_loss_if_latency_is_too_high():
    found = engine_reserve.placement(sites((0.6, 0.3, 0.1)), 10, LOST, 0.5)
    counts = dict(found.counts)
    for region, share in zip("nsw", (0.6, 0.3, 0.1), strict=True):
        own = [count for name, count in counts.items() if name.startswith(region)]
        assert min(own) >= math.ceil(10 * share)


def test_most_of_a_region_is_served_locally():
    found = engine_reserve.placement(sites((0.7, 0.2, 0.1)), 20, LOST, 0.1)
    assert of_region(found, "n") >= math.floor(engine_reserve.LOCAL_FRACTION * 14)
    assert found.survivors >= 20


def test_the_reserve_is_placed_where_it_is_cheap():
    expensive_sibling = engine_reserve.placement(
        sites(prices=(1.0, 3.0, 1.0, 1.0, 1.0, 1.0)), 15, LOST, 0.1
    )
    cheap_sibling = engine_reserve.placement(
        sites(prices=(1.0, 0.3, 1.0, 1.0, 1.0, 1.0)), 15, LOST, 0.1
    )
    assert dict(expensive_sibling.counts)["n1"] < dict(cheap_sibling.counts)["n1"]


def test_growing_the_largest_data_centre_adds_no_survivors():
    before = engine_reserve.survivors([4, 3, 3, 3, 3, 3], LOST)
    assert engine_reserve.survivors([5, 3, 3, 3, 3, 3], LOST) == before
    assert engine_reserve.survivors([4, 3, 3, 3, 3, 4], LOST) > before


def test_placement_stops_at_the_maximum():
    found = engine_reserve.placement(sites(most=3), 40, LOST, 0.1)
    assert total(found) == 18


@hypothesis.given(
    strategies.integers(1, 60),
    strategies.lists(strategies.floats(0.02, 1.0), min_size=3, max_size=3),
    strategies.lists(strategies.floats(0.5, 2.0), min_size=6, max_size=6),
    strategies.sampled_from([0.0, 0.1, 0.5]),
    strategies.integers(0, 2),
)
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_what_is_needed_is_left_within_the_limits(
    needed: int, weights: list[float], prices: list[float], way: float, least: int
):
    shares = tuple(weight / sum(weights) for weight in weights)
    found = engine_reserve.placement(
        sites(shares, tuple(prices), least=least, most=80), needed, LOST, way
    )
    assert found.survivors >= needed
    assert all(count >= least for _, count in found.counts)
    if way <= engine_reserve.MAX_LATENCY_FRACTION:
        largest = max(count for _, count in found.counts)
        assert total(found) <= max(needed + LOST * largest + 1, 6 * least)
