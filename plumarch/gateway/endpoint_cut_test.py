"""Nodes that are cut off from all endpoints, over loopback."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Coroutine

from plumarch.core import rollouts, traffic
from plumarch.fleet import version_tally
from plumarch.gateway import relay_test
from plumarch.gateway.dispatch import attempts, silent_endpoint_test
from plumarch.gateway.gossip import tunnel_server
from plumarch.limits import memory_account
from plumarch.standins import cut_fleet
from plumarch.standins import scripted_endpoint as scripted

NODES = 5
CUT_NODES = 2
TIMEOUT_S = 60
DEADLINE_MS = 10_000
CONNECT_MS = 500.0
"""Longer than the default, as a busy machine may need more; direct connects hang for it."""

SHORT_DEADLINE_MS = 800

BLOCKED_S = 1.0
"""Time without progress after which a stream counts as blocked."""

PATHS = ("/safe/x", "/unsafe/x", "/chat/x", "/diff/x")


async def answering(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer plain requests, and stream on the other routes."""
    if request.line.split()[1].split("/")[1] in ("chat", "diff"):
        await relay_test.streams(1, 5)(request, writer)
    else:
        await relay_test.answers()(request, writer)


class HangingEndpoint:
    """Sends no final answer, and notices when its connection ends."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while True:
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                await writer.drain()
                await asyncio.sleep(0.005)
        self.ended.set()


class EndlessEndpoint:
    """Streams until nobody reads any more."""

    def __init__(self) -> None:
        self.blocked = asyncio.Event()

    async def answer(self, request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(scripted.stream_head(request))
        while True:
            writer.write(scripted.chunk(b"data: " + b"x" * 32_768 + b"\n\n"))
            try:
                async with asyncio.timeout(BLOCKED_S):
                    await writer.drain()
            except TimeoutError:
                self.blocked.set()
                await asyncio.Event().wait()


class Served:
    """A fleet with endpoints."""

    def __init__(self, fleet: cut_fleet.CutFleet, endpoints: list[scripted.ScriptedEndpoint]):
        self.fleet = fleet
        self.endpoints = endpoints
        self.cut_nodes = fleet.nodes[:CUT_NODES]
        self.others = fleet.nodes[CUT_NODES:]

    def cut(self, kind: cut_fleet.Cut) -> None:
        for node in self.cut_nodes:
            self.fleet.loop().cut(node.name, kind)

    async def ask(
        self, node: cut_fleet.Node, path: str, deadline_ms: int = DEADLINE_MS
    ) -> relay_test.Answer:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        request = relay_test.request_bytes(path).replace(
            f"X-Deadline-Ms: {relay_test.LONG_MS}".encode(),
            f"X-Deadline-Ms: {deadline_ms}".encode(),
        )
        writer.write(request)
        found = await relay_test.read_answer(reader)
        writer.close()
        return found

    async def statuses(self, nodes: list[cut_fleet.Node], each: int) -> list[int]:
        """Return the statuses of the first attempts at some nodes, all routes in turn."""
        asked = [self.ask(node, PATHS[number % 4]) for node in nodes for number in range(each)]
        return [answer.status for answer in await asyncio.gather(*asked)]


@contextlib.asynccontextmanager
async def served(
    *answer: scripted.Answering, nodes: int = NODES, connect_ms: float = CONNECT_MS
) -> AsyncIterator[Served]:
    endpoints = [await scripted.ScriptedEndpoint(one).start() for one in answer]
    listed = [
        traffic.Endpoint(f"e{number}", "s", one.address, "dc-0", 64, traffic.EndpointState.READY)
        for number, one in enumerate(endpoints)
    ]
    before_ms, attempts.CONNECT_TIMEOUT_MS = attempts.CONNECT_TIMEOUT_MS, connect_ms
    try:
        async with cut_fleet.CutFleet(nodes, listed, relay_test.TABLE) as fleet:
            yield Served(fleet, endpoints)
    finally:
        attempts.CONNECT_TIMEOUT_MS = before_ms
        for one in endpoints:
            await one.stop()


def play(test: Callable[[], Coroutine[None, None, None]]) -> None:
    cut_fleet.run(test, TIMEOUT_S)


def test_callers_of_nodes_cut_off_from_all_endpoints_are_served():
    """Requests were refused although other nodes reached the endpoints."""

    async def test() -> None:
        for kind in cut_fleet.Cut:
            async with served(answering, answering) as fleet:
                assert set(await fleet.statuses(fleet.cut_nodes, 4)) == {200}
                fleet.cut(kind)
                assert set(await fleet.statuses(fleet.cut_nodes, 12)) == {200}, kind
                assert set(await fleet.statuses(fleet.others, 4)) == {200}

    play(test)


def tunnels_used(node: cut_fleet.Node) -> float:
    return node.state.measures.tunnels.counts.get(("used", "connected"), 0.0)


def test_a_node_connects_directly_again_once_its_links_are_back():
    async def test() -> None:
        async with served(answering, answering) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            assert set(await fleet.statuses(fleet.cut_nodes, 8)) == {200}
            assert all(node.state.paths.is_cut_off() for node in fleet.cut_nodes)
            fleet.fleet.loop().cuts.clear()
            while any(node.state.paths.retry_ms for node in fleet.cut_nodes):
                assert set(await fleet.statuses(fleet.cut_nodes, 4)) == {200}
            before = [tunnels_used(node) for node in fleet.cut_nodes]
            assert set(await fleet.statuses(fleet.cut_nodes, 8)) == {200}
            assert [tunnels_used(node) for node in fleet.cut_nodes] == before

    play(test)


def test_a_node_that_is_cut_off_opens_no_tunnel():
    """A chain of tunnels could be a loop."""

    async def test() -> None:
        async with served(answering, answering, nodes=3) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            assert set(await fleet.statuses(fleet.cut_nodes, 8)) == {200}
            for node in fleet.cut_nodes:
                assert not node.state.measures.tunnels.counts.get(("served", "connected"))
            await fleet.fleet.until(
                lambda: (
                    not any(
                        peer.opens_tunnels
                        for peer in fleet.others[0].view.live()
                        if peer.name in ("n1", "n2")
                    )
                )
            )

    play(test)


def test_if_all_nodes_are_cut_off_requests_are_refused_as_not_run():
    async def test() -> None:
        async with served(answering, answering, nodes=2) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            answers = [await fleet.ask(fleet.cut_nodes[0], path) for path in PATHS]
            assert [one.status for one in answers] == [503] * 4
            assert all("retry-after" in one.headers for one in answers)
            assert not any(one.received for one in fleet.endpoints)

    play(test)


def test_the_run_of_a_caller_that_leaves_ends_behind_a_tunnel():
    async def test() -> None:
        hanging = HangingEndpoint()
        async with served(hanging.answer) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            asking = asyncio.create_task(fleet.ask(fleet.cut_nodes[0], "/unsafe/x"))
            await fleet.fleet.until(lambda: bool(fleet.endpoints[0].received))
            asking.cancel()
            fleet.cut_nodes[0].callers.close_all()
            await hanging.ended.wait()

    play(test)


def test_a_caller_has_one_deadline_over_both_nodes():
    async def test() -> None:
        hanging = HangingEndpoint()
        async with served(hanging.answer) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            answer = await fleet.ask(fleet.cut_nodes[0], "/unsafe/x", SHORT_DEADLINE_MS)
            # The timers of the request and of its attempt end together.
            assert answer.status in (502, 504)
            assert "retry-after" not in answer.headers
            await hanging.ended.wait()
            [received] = fleet.endpoints[0].received
            assert 0 < int(received.headers["x-deadline-ms"]) <= SHORT_DEADLINE_MS

    play(test)


def test_a_node_with_an_open_tunnel_keeps_it_during_its_planned_stop():
    async def test() -> None:
        silence = silent_endpoint_test.Silence()
        async with served(silence.answer) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            asking = asyncio.create_task(fleet.ask(fleet.cut_nodes[0], "/unsafe/x"))
            await fleet.fleet.until(lambda: silence.waiting == 1)
            for node in fleet.others:
                node.gossip.leaving = True
            assert sum(node.gossip.tunnels.busy() for node in fleet.others) == 1
            refused = await fleet.ask(fleet.cut_nodes[0], "/unsafe/x")
            assert refused.status == 503 and "retry-after" in refused.headers
            silence.ended.set()
            assert (await asking).status == 200
            assert silence.waiting == 1

    play(test)


def test_nodes_without_memory_open_no_tunnels():
    async def test() -> None:
        # Nodes are asked one after the other within a part of this time.
        async with served(answering, connect_ms=10 * CONNECT_MS) as fleet:
            for node in fleet.others[1:]:
                node.state.memory.budget = tunnel_server.MEMORY_BYTES - 1
            fleet.cut(cut_fleet.Cut.REFUSED)
            assert set(await fleet.statuses(fleet.cut_nodes, 8)) == {200}
            for node in fleet.others[1:]:
                assert not node.state.measures.tunnels.counts.get(("served", "connected"))

    play(test)


def test_the_memory_of_both_nodes_is_bounded_for_a_caller_that_does_not_read():
    async def test() -> None:
        endless = EndlessEndpoint()
        async with served(endless.answer) as fleet:
            node = fleet.cut_nodes[0]
            fleet.cut(cut_fleet.Cut.REFUSED)
            _, writer = await asyncio.open_connection("127.0.0.1", node.port, limit=1)
            writer.write(relay_test.request_bytes("/chat/x"))
            await endless.blocked.wait()
            [other] = [one for one in fleet.others if one.gossip.tunnels.busy()]
            [client] = other.gossip.tunnels.clients
            assert 0 < client.transport.get_write_buffer_size() <= tunnel_server.MEMORY_BYTES
            assert other.state.memory.total() == tunnel_server.MEMORY_BYTES
            memory = node.state.memory
            fraction = memory_account.ANSWERS_FRACTION * memory_account.STREAM_FRACTION
            assert memory.total() <= fraction * memory.budget
            writer.transport.abort()
            await fleet.fleet.until(lambda: not other.gossip.tunnels.busy())
            assert other.state.memory.total() == 0

    play(test)


def test_an_answer_cut_short_by_the_end_of_the_other_node_does_not_look_complete():
    """An answer without a length ends with its connection."""

    async def test() -> None:
        async def half(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            lines = ["HTTP/1.1 200 OK", "x-request-id: r1", "x-signature: signed"]
            writer.write("\r\n".join(lines).encode() + scripted.HEAD_END + b"half")
            await writer.drain()
            await asyncio.Event().wait()

        async with served(half) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            asking = asyncio.create_task(fleet.ask(fleet.cut_nodes[0], "/unsafe/x"))
            await fleet.fleet.until(
                lambda: any(node.gossip.tunnels.busy() for node in fleet.others)
            )
            await fleet.fleet.until(lambda: bool(fleet.endpoints[0].received))
            for node in fleet.others:
                node.stop()
            found = await asking
            assert found.status == 502
            assert not fleet.cut_nodes[0].state.health.known

    play(test)


def test_an_answer_without_a_length_is_complete_if_the_endpoint_closes():
    async def test() -> None:
        async def whole(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            lines = ["HTTP/1.1 200 OK", "x-request-id: r1", "x-signature: signed"]
            writer.write("\r\n".join(lines).encode() + scripted.HEAD_END + b"all of it")

        async with served(whole) as fleet:
            fleet.cut(cut_fleet.Cut.REFUSED)
            found = await fleet.ask(fleet.cut_nodes[0], "/unsafe/x")
            assert (found.status, found.body) == (200, b"all of it")

    play(test)


def test_a_stream_without_a_length_that_ends_inside_an_event_is_broken_off_in_a_tunnel():
    partial = scripted.event(1) + b"id: 2\ndata: ha"
    whole = scripted.event(1) + scripted.event(2)

    async def test() -> None:
        for data, is_whole in ((whole, True), (partial, False)):

            async def answering(
                request: scripted.ReceivedRequest, writer: asyncio.StreamWriter, data: bytes = data
            ) -> None:
                writer.write(scripted.unframed_stream_head(request) + data)

            async with served(answering) as fleet:
                fleet.cut(cut_fleet.Cut.REFUSED)
                found = await fleet.ask(fleet.cut_nodes[0], "/diff/x")
                assert found.whole is is_whole
                assert not is_whole or found.body == data

    play(test)


def test_requests_interrupted_by_a_cut_are_not_suspected_of_crashing_endpoints():
    """The cut node's own probe is refused, as that of a crashed endpoint would be."""

    async def test() -> None:
        async def hangs(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async with served(hangs, hangs) as fleet:
            node = fleet.cut_nodes[0]
            asking = [asyncio.create_task(fleet.ask(node, "/unsafe/x")) for _ in range(4)]
            await fleet.fleet.until(lambda: sum(len(one.received) for one in fleet.endpoints) == 4)
            fleet.cut(cut_fleet.Cut.RESET)
            assert {one.status for one in await asyncio.gather(*asking)} == {502}
            await fleet.fleet.until(lambda: bool(node.state.paths.retry_ms))
            assert not node.state.quarantine.suspects

    play(test)


def test_nodes_that_decline_tunnels_are_passed_over():
    async def test() -> None:
        async with served(answering) as fleet:
            for node in fleet.others[1:]:
                node.gossip.peer_server.tunnels.is_leaving = lambda: True
            fleet.cut(cut_fleet.Cut.REFUSED)
            assert set(await fleet.statuses(fleet.cut_nodes, 8)) == {200}

    play(test)


def test_an_endpoint_that_hangs_is_avoided_by_a_node_that_is_cut_off():
    """Timeouts through tunnels counted against no endpoint, so half of all requests were late."""

    async def test() -> None:
        silence = silent_endpoint_test.Silence()
        async with served(silence.answer, answering, answering) as fleet:
            [node, *_] = fleet.cut_nodes
            silent_endpoint_test.set_target(node.state, silent_endpoint_test.TARGET_MS)
            fleet.cut(cut_fleet.Cut.REFUSED)
            for _ in range(4):
                answers = [fleet.ask(node, "/safe/x") for _ in range(6)]
                assert {one.status for one in await asyncio.gather(*answers)} == {200}
            usable = node.state.health.usable(fleet.fleet.endpoints)
            assert [one.id for one in usable] == ["e1", "e2"]
            silence.ended.set()

    play(test)


def test_runs_reset_by_a_cut_are_no_crash_under_too_much_load():
    """A node that was cut off under a burst refused most of its callers for a minute."""

    async def test() -> None:
        silence = silent_endpoint_test.Silence()
        async with served(silence.answer, silence.answer) as fleet:
            [node, *_] = fleet.cut_nodes
            few = [dataclasses.replace(one, slots=4) for one in fleet.fleet.endpoints]
            node.state.registry.replace(few, 2, "store")
            burst = [asyncio.create_task(fleet.ask(node, "/unsafe/x")) for _ in range(20)]
            await fleet.fleet.until(lambda: silence.waiting == 20)
            fleet.cut(cut_fleet.Cut.RESET)
            assert {one.status for one in await asyncio.gather(*burst)} == {502}
            await fleet.fleet.until(lambda: b"endpoint_lives" in bytes(node.state.log.pending))
            silence.ended.set()
            assert set(await fleet.statuses([node], 20)) == {200}
            assert node.state.limits.crashes.per_slot("s") is None

    play(test)


def test_runs_reset_by_a_cut_do_not_count_against_a_version_on_trial():
    """A node that was cut off reported bad answers, and a good version was rolled back."""

    async def test() -> None:
        async def hangs(request: scripted.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async with served(hangs, hangs) as fleet:
            node = fleet.cut_nodes[0]
            endpoints = node.state.registry.endpoints
            for name, version in (("e0", "v2"), ("e1", "v1")):
                endpoints[name] = dataclasses.replace(endpoints[name], version=version)
            running = rollouts.RolloutState.RUNNING
            whole = rollouts.VersionSplit("s", "v2", running, 1.0, 1, 1, False)
            assert node.state.adopt_split(whole)
            asking = [asyncio.create_task(fleet.ask(node, "/unsafe/x")) for _ in range(4)]
            await fleet.fleet.until(lambda: len(fleet.endpoints[0].received) == 4)
            fleet.cut(cut_fleet.Cut.RESET)
            assert {one.status for one in await asyncio.gather(*asking)} == {502}
            await fleet.fleet.until(lambda: bool(node.state.paths.retry_ms))
            total = node.state.answers.total(lambda source: True)
            assert total.get(version_tally.TallyKey("s", "v2", "unsafe")) is None

    play(test)
