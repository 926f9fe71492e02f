"""Benchmarks gossip in large fleets on virtual time: python -m bench.large_fleets.

Processor time is measured around each received datagram and each round; bytes are payload bytes of
datagrams.
"""

import collections
import dataclasses
import random
import statistics
import time
from collections.abc import Callable

from plumarch.gateway import fleet_state
from plumarch.membership import tiers
from plumarch.routing import endpoint_choice
from plumarch.standins import gossip_fleet

SETTLE_MS = 3_000
MEASURED_MS = 2_000
STEP_MS = 20
RUNNING_S = 1.0
"""Duration of a request."""

UNITS = 4_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Size of a fleet and its load."""

    size: gossip_fleet.Size
    engines: int
    requests_per_s: float


def fleet_size(
    data_centres: int, nodes_each: int, workspaces: int, regions: int = 1
) -> gossip_fleet.Size:
    """Return a fleet size with quotas too large to reject requests."""
    return gossip_fleet.Size(
        data_centres, nodes_each, workspaces, rate=1e9, burst=1e9, regions=regions
    )


LOADS = (
    Load(fleet_size(4, 19, 16), 30, 190.0),
    Load(fleet_size(5, 39, 19), 39, 220.0),
    Load(fleet_size(21, 21, 19), 143, 500.0),
    Load(fleet_size(6, 12, 16, regions=3), 30, 190.0),
    Load(fleet_size(21, 21, 19, regions=8), 143, 500.0),
)


class Meter:
    """Accumulates the processor time of each node."""

    def __init__(self) -> None:
        self.spent_s: collections.Counter[str] = collections.Counter()

    def timed(self, node: str, function: Callable[..., None]) -> Callable[..., None]:
        """Wrap a function so that its duration is added to a node's time."""

        def measured(*args: object) -> None:
            start = time.perf_counter()
            function(*args)
            self.spent_s[node] += time.perf_counter() - start

        return measured

    def watch(self, fleet: gossip_fleet.GossipFleet) -> None:
        """Instrument the gossip functions of all nodes of a fleet."""
        for node in fleet.live():
            for name in ("datagram_received", "tick", "announce_prompt"):
                setattr(node.gossip, name, self.timed(node.name, getattr(node.gossip, name)))
            node.gossip_round = self.timed(node.name, node.gossip_round)


def serve(fleet: gossip_fleet.GossipFleet, load: Load, rng: random.Random, for_ms: int) -> None:
    """Start requests at the load's rate and end them after RUNNING_S."""
    nodes = fleet.live()
    ends: collections.deque[tuple[int, gossip_fleet.Node, str]] = collections.deque()
    due = 0.0
    for _ in range(for_ms // STEP_MS):
        fleet.run(STEP_MS)
        due += load.requests_per_s * STEP_MS / 1000.0
        while due >= 1.0:
            due -= 1.0
            node, engine = rng.choice(nodes), f"i-{rng.randrange(load.engines):010x}"
            space = fleet.table.workspaces[f"w{rng.randrange(load.size.workspaces)}"]
            node.state.quota.admit(space, UNITS)
            own = node.state.chooser.own.setdefault(engine, endpoint_choice.Load())
            own.running += 1
            node.gossip.announce_prompt(fleet_state.SentPrompt(engine, UNITS, space.name, UNITS))
            ends.append((fleet.time.now() + round(RUNNING_S * 1000), node, engine))
        while ends and ends[0][0] <= fleet.time.now():
            _, node, engine = ends.popleft()
            node.state.chooser.own[engine].running -= 1
            if not node.state.chooser.own[engine].running:
                del node.state.chooser.own[engine]


def measure(load: Load) -> str:
    """Return the results for one fleet, as text."""
    fleet = gossip_fleet.GossipFleet(load.size)
    rng = random.Random(1)
    serve(fleet, load, rng, SETTLE_MS)
    fleet.datagrams = {True: 0, False: 0}
    fleet.bytes = {True: 0, False: 0}
    fleet.region_bytes = 0
    meter = Meter()
    meter.watch(fleet)
    serve(fleet, load, rng, MEASURED_MS)
    seconds = MEASURED_MS / 1000.0
    nodes = len(fleet.live())
    cores = {
        role: [meter.spent_s[node.name] / seconds * 100.0 for node in fleet.with_role(role)]
        for role in (tiers.Role.MEMBER, tiers.Role.COORDINATOR)
    }
    return (
        f"{nodes} nodes, {load.size.workspaces} workspaces, {load.requests_per_s:.0f} requests/s: "
        f"{sum(fleet.datagrams.values()) / seconds:.0f} datagrams/s, "
        f"{sum(fleet.bytes.values()) / seconds / nodes:.0f} bytes/s a node, "
        f"{fleet.bytes[True] / seconds / 1000:.0f} kB/s between data centres, "
        f"{fleet.region_bytes / seconds / 1000:.0f} kB/s between {load.size.regions} regions; "
        f"% of a core: member {statistics.mean(cores[tiers.Role.MEMBER]):.2f}, "
        f"coordinator {statistics.mean(cores[tiers.Role.COORDINATOR]):.2f}, "
        f"largest {max(meter.spent_s.values()) / seconds * 100.0:.2f}"
    )


def main() -> None:
    """Print the results for each fleet."""
    for load in LOADS:
        print(measure(load), flush=True)


if __name__ == "__main__":
    main()
