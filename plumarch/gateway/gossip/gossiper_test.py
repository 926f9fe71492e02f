"""Tests the exchange of configurations, endpoints, loads, spending and usage between nodes."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from plumarch.config import routing_table
from plumarch.core import clock, errors, traffic
from plumarch.gateway import fleet_state
from plumarch.gateway.gossip import gossiper, heartbeats
from plumarch.membership import fleet_view
from plumarch.peers import frames, gossip, recent_changes
from plumarch.routing import endpoint_choice
from plumarch.standins import gateway_parts


def table(version: int) -> routing_table.RoutingTable:
    spaces = (traffic.Workspace("w", ("k",), rate=10.0, burst=20.0),)
    return routing_table.build(
        routing_table.Configuration(
            version,
            (
                traffic.Route(
                    "r",
                    "h",
                    "/",
                    traffic.RouteKind.STREAMING,
                    1_000,
                    100,
                    (traffic.ServiceShare("s", 1.0),),
                ),
            ),
            (traffic.Service("s", scaling=traffic.Scaling(1, 3, 4_000.0, 0.2, {"a": 1.0})),),
            spaces,
            traffic.CallerLimits(),
        )
    )


ENDPOINT = traffic.Endpoint("e", "s", "1:1", "a", 4, traffic.EndpointState.DRAINING, True, 900.0)


class Pair:
    """Two nodes on two loopback addresses with one port."""

    def __init__(self) -> None:
        self.clock = clock.MonotonicClock()

    async def __aenter__(self) -> "Pair":
        while True:
            self.one = self.node("one", "127.0.0.1:0")
            await self.one.start()
            port = self.one.server.sockets[0].getsockname()[1]
            self.one.close()
            self.one = self.node("one", f"127.0.0.1:{port}")
            self.two = self.node("two", f"127.0.0.2:{port}", seeds=(f"127.0.0.1:{port}",))
            try:
                await self.one.start()
                await self.two.start()
                return self
            except OSError:  # Another program took the port in between.
                self.one.close()
                self.two.close()

    def node(self, name: str, address: str, seeds: tuple[str, ...] = ()) -> gossiper.Gossiper:
        state = gateway_parts.new_state(self.clock, name)
        view = fleet_view.FleetView(self.clock, name, 1, address)
        return gossiper.Gossiper(state, view, heartbeats.DutyStatus(), seeds)

    async def __aexit__(self, *_: object) -> None:
        self.one.close()
        self.two.close()

    async def until(self, reached: Callable[[], bool]) -> None:
        while not reached():
            self.one.tick()
            self.two.tick()
            await asyncio.sleep(0.005)


def play(test: Callable[[Pair], Awaitable[None]]) -> None:
    async def run() -> None:
        async with Pair() as pair:
            await asyncio.wait_for(test(pair), 30)

    asyncio.run(run())


def test_nodes_find_each_other_by_one_seed():
    async def test(pair: Pair) -> None:
        await pair.until(lambda: bool(pair.one.view.live() and pair.two.view.live()))
        assert pair.one.state.quota.fraction == 1.0

    play(test)


def test_newer_configuration_and_endpoints_replace_older_ones_only():
    async def test(pair: Pair) -> None:
        pair.one.state.adopt_table(table(7), "store")
        pair.one.state.registry.replace([ENDPOINT], 40, "store")
        two = pair.two.state
        await pair.until(lambda: two.table is not None and two.registry.revision == 40)
        assert two.table.configuration == table(7).configuration
        assert two.table_source == "one"
        assert two.registry.endpoints == {"e": ENDPOINT}
        two.adopt_table(table(9), "store")
        await pair.until(lambda: pair.one.state.table.version == 9)
        assert two.table.version == 9

    play(test)


NESTED = b"\x91" * 1_300 + b"\x01"
"""A message nested deeper than its decoder follows."""


def test_a_datagram_nested_too_deep_is_counted_and_dropped():
    async def test(pair: Pair) -> None:
        await pair.until(lambda: bool(pair.one.view.live()))
        heartbeat = msgspec.msgpack.decode(gossip.encoder.encode(pair.two.composer.next(False, {})))
        for data in (NESTED, msgspec.msgpack.encode([*heartbeat, msgspec.Raw(NESTED)])):
            pair.one.datagram_received(data, ("127.0.0.2", 9))
        counted = pair.one.state.measures.unreadable_messages.counts
        assert sum(counted.values()) == 2

    play(test)


def test_a_message_with_an_invalid_address_adds_no_node():
    async def test(pair: Pair) -> None:
        await pair.until(lambda: bool(pair.one.view.live()))
        odd = msgspec.structs.replace(pair.two.composer.next(False, {}), node="odd", address="x")
        pair.one.apply_heartbeat(odd)
        pair.one.view.learn("odder", "10.0.0.1:none")
        assert set(pair.one.view.peers) & {"odd", "odder"} == set()
        pair.one.tick()

    play(test)


def test_loads_spending_and_usage_reach_the_other_node():
    async def test(pair: Pair) -> None:
        for one in (pair.one, pair.two):
            one.state.adopt_table(table(7), "store")
        await pair.until(lambda: bool(pair.one.view.live() and pair.two.view.live()))
        state = pair.one.state
        state.chooser.own["e"] = endpoint_choice.Load(2, 300.0)
        state.usage.started("w", state.wall.now())
        state.quota.admit(table(7).workspaces["w"], 5.0)
        other = pair.two.state
        await pair.until(lambda: other.chooser.load("e").running == 2)
        assert other.chooser.load("e").prompt_tokens == 300.0
        assert sum(other.quota.reported_spent.values()) == 5.0
        assert other.quota.total_charged() == 5.0
        await pair.until(lambda: "one#1" in other.usage.reports)
        assert sum(sum(one.values()) for one in other.usage.reports["one#1"].values()) == 1

    play(test)


def test_only_a_long_prompt_is_announced_before_the_next_heartbeat():
    async def test(pair: Pair) -> None:
        await pair.until(lambda: bool(pair.one.view.live() and pair.two.view.live()))
        other = pair.two.state
        state = pair.one.state
        state.chooser.own["e"] = endpoint_choice.Load(1, 9_000.0)
        state.announce_prompt(fleet_state.SentPrompt("e", gossiper.NOTICE_TOKENS - 1, "", 0.0))
        state.chooser.own["f"] = endpoint_choice.Load(2, 7_000.0)
        state.announce_prompt(fleet_state.SentPrompt("f", 7_000.0, "", 0.0))
        while other.chooser.load("f").running != 2:
            await asyncio.sleep(0.005)
        assert other.chooser.load("f").prompt_tokens == 7_000.0
        assert other.chooser.load("e").running == 0

    play(test)


def test_revision_without_changes_is_not_announced():
    state = gateway_parts.new_state(clock.ManualClock())
    view = fleet_view.FleetView(clock.ManualClock(), "n", 1, "127.0.0.1:1")
    node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
    state.registry.replace([ENDPOINT], 40, "store")
    state.registry.apply([], 55, "store")
    assert node.composer.next(leaving=False).registry_revision == 40


def test_notice_of_an_earlier_incarnation_is_dropped():
    state = gateway_parts.new_state(clock.ManualClock())
    view = fleet_view.FleetView(clock.ManualClock(), "n", 1, "127.0.0.1:1")
    node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
    node.apply_heartbeat(gossip.Heartbeat("m", 5, "127.0.0.2:1", "a", False, -1, -1, 0, True, 0))
    load = gossip.EndpointLoad("e", 1, 3_000)
    for incarnation, running in ((4, 0), (5, 1)):
        notice = gossip.LoadNotice("m", incarnation, load)
        node.datagram_received(gossip.encoder.encode(notice), ("127.0.0.2", 1))
        assert state.chooser.load("e").running == running


def test_undecodable_datagram_is_dropped_and_logged():
    state = gateway_parts.new_state(clock.ManualClock())
    view = fleet_view.FleetView(clock.ManualClock(), "n", 1, "127.0.0.1:1")
    node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
    for data in (b"", b"\xff" * 40, gossip.encoder.encode([1, 2, 3])):
        node.datagram_received(data, ("127.0.0.9", 5))
    assert view.peers == {}
    assert b"bad_heartbeat" in bytes(state.log.pending)


def test_frame_over_the_limit_is_rejected():
    async def test() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data((gossip.FRAME_LIMIT + 1).to_bytes(4, "big"))
        with pytest.raises(errors.PeerProtocolError):
            await frames.read(reader, gossip.FRAME_LIMIT)

    asyncio.run(test())


def reported_spending(node: gossiper.Gossiper) -> list[str]:
    return [one.workspace for one in node.composer.next(leaving=False).spending]


def test_heartbeat_holds_changed_spending_and_all_for_a_new_peer():
    state = gateway_parts.new_state(clock.ManualClock())
    view = fleet_view.FleetView(clock.ManualClock(), "n", 1, "127.0.0.1:1")
    node = gossiper.Gossiper(state, view, heartbeats.DutyStatus(), ())
    state.adopt_table(table(7), "store")
    for _ in range(heartbeats.FULL_INTERVAL - 1):
        reported_spending(node)
    assert reported_spending(node) == []
    assert reported_spending(node) == ["w"]
    assert reported_spending(node) == []
    state.quota.buckets["w"].spent += 3.0
    assert reported_spending(node) == ["w"]
    node.composer.heartbeat_count = 1
    for _ in range(recent_changes.SEND_COUNT):
        reported_spending(node)
    node.apply_heartbeat(gossip.Heartbeat("m", 5, "127.0.0.2:1", "a", False, -1, -1, 0, True, 0))
    assert reported_spending(node) == ["w"]
