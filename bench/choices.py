"""What the choice of an engine costs by the size of the fleet: python -m bench.choices.

Processor time of choosing among all engines with their loads, as one node does for each prompt.
"""

import dataclasses
import random
import time

from plumarch.core import clock, traffic
from plumarch.routing import distance, endpoint_choice

CHOICES = 400
CENTRES = "abc"
"""Data centres; each is a region of its own where there are several regions."""

REPORTED = 12
"""Engines whose load one node reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A fleet."""

    nodes: int
    engines: int
    regions: int = 1


SIZES = (Size(7, 9), Size(77, 30), Size(195, 39), Size(450, 143), Size(195, 39, 3))


def chooser_of(size: Size, engines: list[traffic.Endpoint]) -> endpoint_choice.EndpointChooser:
    """Return what a node knows of the loads that all others told."""
    rng = random.Random(1)
    time_now = clock.ManualClock()
    regions = {centre: centre for centre in CENTRES} if size.regions > 1 else {}
    chooser = endpoint_choice.EndpointChooser(
        time_now, "a", distances=distance.Distances(time_now, "a", regions)
    )
    for node in range(size.nodes - 1):
        told = rng.sample(engines, min(REPORTED, len(engines)))
        chooser.report_loads(
            f"n{node}",
            {one.id: endpoint_choice.Load(1, rng.uniform(0, 5_000)) for one in told},
        )
    return chooser


def measure(size: Size) -> str:
    """Return a line of figures for one size."""
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
    chooser = chooser_of(size, engines)
    begun = time.perf_counter()
    for number in range(CHOICES):
        parts = (
            traffic.PromptPart(f"shared{number % 4}", 2_500),
            traffic.PromptPart(f"subject{number % 40}", 3_800),
            traffic.PromptPart(f"own{number}", 2_900),
        )
        assert sum(chooser.running(one.id) for one in engines) >= 0
        chooser.choose_engine(engines, parts, 9_200, number)
    spent_ms = (time.perf_counter() - begun) * 1_000.0 / CHOICES
    where = f"{size.nodes} nodes, {size.engines} engines, {size.regions} regions"
    return f"{where}: {spent_ms:.3f} ms a choice"


def main() -> None:
    """Print a line for each size."""
    for size in SIZES:
        print(measure(size))


if __name__ == "__main__":
    main()
