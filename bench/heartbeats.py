"""Benchmarks size, encoding and processing of heartbeats by fleet size.

    python -m bench.heartbeats

The results are copied into docs/CAPACITY.md by hand.
"""

import dataclasses
import random
import time

from plumarch.config import routing_table
from plumarch.core import clock, traffic
from plumarch.gateway.gossip import gossiper, heartbeats
from plumarch.membership import fleet_view
from plumarch.peers import gossip
from plumarch.routing import endpoint_choice
from plumarch.standins import gateway_parts

ROUNDS = 400
RUNNING_S = 1.0
"""Duration of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size and load of a fleet.

    Attributes:
      requests_per_s: sum over all nodes.
    """

    nodes: int
    workspaces: int
    endpoints: int
    requests_per_s: float


SIZES = (Size(6, 5, 8, 21.0), Size(24, 16, 30, 60.0), Size(24, 500, 143, 850.0))
"""Fleets small enough that every node sends to every other; larger: bench.large_fleets."""


def build_table(size: Size) -> routing_table.RoutingTable:
    """Return a routing table whose workspaces all have a rate limit."""
    spaces = tuple(
        traffic.Workspace(f"space{number:04}", (f"key{number}",), rate=30_000.0, burst=40_000.0)
        for number in range(size.workspaces)
    )
    return routing_table.build(
        routing_table.Configuration(1, (), (), spaces, traffic.CallerLimits())
    )


def build_node(size: Size, node_clock: clock.ManualClock) -> gossiper.Gossiper:
    """Return a node whose fleet view contains all other nodes."""
    state = gateway_parts.new_state(node_clock)
    view = fleet_view.FleetView(node_clock, "front-hall-a-1", 1_700_000_000_000, "10.1.0.1:7600")
    node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
    state.adopt_table(build_table(size), "store")
    for number in range(size.nodes - 1):
        view.mark_seen(
            f"front-hall-b-{number}", 1_700_000_000_000, f"10.2.{number}.1:7600", "hall-b"
        )
    return node


def serve(node: gossiper.Gossiper, size: Size, interval_ms: float, rng: random.Random) -> None:
    """Admit the requests that a node receives in one interval."""
    state = node.state
    share = size.requests_per_s / size.nodes
    count = share * interval_ms / 1000.0
    for _ in range(int(count) + (rng.random() < count % 1.0)):
        name = f"space{int(rng.random() ** 2 * size.workspaces):04}"
        assert state.table is not None
        state.quota.admit(state.table.workspaces[name], rng.uniform(200, 9_000))
        state.usage.started(name, state.wall.now())
    running = int(share * RUNNING_S) + 1
    state.chooser.own = {
        f"i-{rng.randrange(size.endpoints):010x}": endpoint_choice.Load(1, rng.uniform(0, 5_000))
        for _ in range(running)
    }


def measure(size: Size) -> str:
    """Return the results for one fleet size, as text."""
    now = clock.ManualClock(1_700_000_100_000)
    rng = random.Random(1)
    node, other = build_node(size, now), build_node(size, now)
    other.view.node = "front-hall-c-1"
    interval_ms = node.interval_ms()
    sizes: list[int] = []
    build_s = apply_s = 0.0
    for _ in range(ROUNDS):
        now.advance_to(now.now() + round(interval_ms))
        serve(node, size, interval_ms, rng)
        start = time.perf_counter()
        data = gossip.encoder.encode(node.composer.next(leaving=False))
        build_s += time.perf_counter() - start
        start = time.perf_counter()
        other.datagram_received(data, ("10.1.0.1", 7600))
        apply_s += time.perf_counter() - start
        sizes.append(len(data))
    mean = sum(sizes) / ROUNDS
    sent = mean * (size.nodes - 1) * 1000.0 / interval_ms
    cores = (build_s + apply_s * (size.nodes - 1)) / ROUNDS * 1000.0 / interval_ms
    return (
        f"{size.nodes} nodes, {size.workspaces} workspaces: "
        f"{mean:.0f} bytes (largest {max(sizes)}), "
        f"build {build_s / ROUNDS * 1e6:.0f} us, apply {apply_s / ROUNDS * 1e6:.0f} us, "
        f"every {interval_ms:.0f} ms, {sent / 1000:.1f} kB/s sent, {cores * 100:.2f}% of a core"
    )


def main() -> None:
    """Print the results for each fleet size."""
    for size in SIZES:
        print(measure(size))


if __name__ == "__main__":
    main()
