"""Benchmarks the choice of an engine by fleet size: python -m bench.choices."""

import dataclasses
import random
import time

from plumarch.core import clock, traffic
from plumarch.routing import distance, endpoint_choice

CHOICES = 400
CENTRES = "abc"
"""Data centres; with several regions, each is its own region."""

REPORTED = 12
"""Number of engines whose load each node reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet."""

    nodes: int
    engines: int
    regions: int = 1


SIZES = (Size(7, 9), Size(77, 30), Size(195, 39), Size(450, 143), Size(195, 39, 3))


def build_chooser(size: Size, engines: list[traffic.Endpoint]) -> endpoint_choice.EndpointChooser:
    """Return a chooser that holds the loads reported by all other nodes."""
    rng = random.Random(1)
    time_now = clock.ManualClock()
    regions = {centre: centre for centre in CENTRES} if size.regions > 1 else {}
    chooser = endpoint_choice.EndpointChooser(
        time_now, "a", distances=distance.Distances(time_now, "a", regions)
    )
    for node in range(size.nodes - 1):
        reported = rng.sample(engines, min(REPORTED, len(engines)))
        chooser.report_loads(
            f"n{node}",
            {one.id: endpoint_choice.Load(1, rng.uniform(0, 5_000)) for one in reported},
        )
    return chooser


def measure(size: Size) -> str:
    """Return the mean time of a choice for one fleet size, as text."""
    centres = CENTRES if size.regions > 1 else CENTRES[:2]
    engines = [
        traffic.Endpoint(
            f"i-{number:010x}",
            "s",
            "1:1",
            centres[number % len(centres)],
            48,
            traffic.EndpointState.READY,
        )
        for number in range(size.engines)
    ]
    chooser = build_chooser(size, engines)
    start = time.perf_counter()
    for number in range(CHOICES):
        parts = (
            traffic.PromptPart(f"shared{number % 4}", 2_500),
            traffic.PromptPart(f"subject{number % 40}", 3_800),
            traffic.PromptPart(f"own{number}", 2_900),
        )
        assert sum(chooser.running(one.id) for one in engines) >= 0
        chooser.choose_engine(engines, parts, 9_200, number)
    spent_ms = (time.perf_counter() - start) * 1_000.0 / CHOICES
    where = f"{size.nodes} nodes, {size.engines} engines, {size.regions} regions"
    return f"{where}: {spent_ms:.3f} ms a choice"


def main() -> None:
    """Print the result for each fleet size."""
    for size in SIZES:
        print(measure(size))


if __name__ == "__main__":
    main()
