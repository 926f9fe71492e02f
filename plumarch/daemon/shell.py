"""Turns input into events for a node, and carries out its actions."""

import asyncio
import collections
import random
import time
from collections.abc import Coroutine
from typing import Any

import msgspec
from loguru import logger

from plumarch.config import publishing
from plumarch.core import addresses, clock, context, data, errors, events, messages, suspension
from plumarch.daemon import metrics, settings, streams
from plumarch.endpoints import client as endpoint_client
from plumarch.node import node
from plumarch.object_api import client as platform_client
from plumarch.object_api import protocol
from plumarch.peers import wire

MAX_DECISIONS = 4_000
"""Decisions retained for operators."""

VM_POLL_S = 2.0
LOAD_POLL_S = 0.5
"""Time between load requests, one engine each: the cost is independent of their number."""

OFFER_POLL_S = 30.0
CONFIG_WAIT_MS = 5_000
IDLE_S = 1.0

log = logger.bind(part="shell")


class Shell:
    """A node with its listeners and clients."""

    def __init__(self, given: settings.Settings) -> None:
        self.settings = given
        self.clock = clock.MonotonicClock()
        self.suspensions = suspension.Suspensions(self.clock)
        incarnation = time.time_ns() // 1_000_000
        self.identity = f"{given.node.name}#{incarnation}"
        self.node = node.Node(
            self.identity,
            given.node.data_centre,
            self.clock,
            random.Random(self.identity),
            tuple(given.peers.nodes),
        )
        self.metrics = metrics.Metrics()
        self.platform = platform_client.HttpPlatform(
            given.platform.url, given.platform.token, self.clock
        )
        self.endpoints = endpoint_client.HttpEndpoints()
        self.transport = wire.WireTransport(
            self.identity, given.peers.key.encode(), self._received, self._dropped
        )
        self.callers: dict[str, streams.CallerStream] = {}
        self.calls: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.decisions: collections.deque[data.Decision] = collections.deque(maxlen=MAX_DECISIONS)
        self.listeners: set[asyncio.Queue[data.Decision]] = set()
        self.sequence = 0
        self.platform_seen_ms = -1

    async def start(self) -> None:
        """Open the peer listener and start the periodic tasks."""
        host, port = addresses.split(self.settings.listen.peers)
        port = await self.transport.listen(host, port)
        self.node.address = f"{host}:{port}"
        for name, address in self.settings.peers.nodes.items():
            self.transport.add_peer(name, address)
        for loop in (self._run_ticks(), self._poll_vms(), self._poll_loads()):
            self.spawn(loop)
        self.spawn(self._watch_config())
        self.spawn(self._poll_notices())
        self.spawn(self._poll_offers())
        log.info("Node {} listens for peers on {}:{}.", self.identity, host, port)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task that close() cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.opt(exception=task.exception()).error("A task failed.")

    async def stop(self) -> None:
        """Hand the remaining requests to other nodes, then wait for callers that still read."""
        self.handle(events.StopAsked())
        limit = self.clock.now() + self.settings.limits.stop_s * 1000
        while not (self.node.drained() and not self.callers) and self.clock.now() < limit:
            await asyncio.sleep(node.TICK_MS / 1000)
        left = len(self.node.table.active)
        log.info("Node {} stops with {} requests in progress.", self.identity, left)

    async def close(self) -> None:
        """Cancel all tasks and close all sockets."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.transport.close()
        await self.platform.close()
        await self.endpoints.close()

    def handle(self, event: events.Event) -> None:
        """Handle an event and carry out the resulting actions."""
        for action in self.node.handle(event):
            self._perform(action)

    def _perform(self, action: events.Action) -> None:
        match action:
            case events.TellTokens():
                stream = self.callers.get(action.watcher_id)
                if stream is not None:
                    stream.handle_tokens(action)
            case events.Send():
                self.transport.send(action.node, action.message)
            case events.HandOver():
                self._dispatch(action)
            case events.Abort():
                call = self.calls.pop((action.request_id, action.attempt), None)
                if call is not None:
                    call.cancel()
            case events.PlatformGet():
                self.spawn(self._get(action))
            case events.PlatformPut():
                self.spawn(self._put(action))
            case events.CloudOrder():
                self.spawn(self._order(action))
            case events.TellAccepted():
                stream = self.callers.get(action.watcher_id)
                if stream is not None:
                    stream.handle_accepted(action)
            case events.TellEnd():
                stream = self.callers.get(action.watcher_id)
                if stream is not None:
                    stream.handle_end(action)
            case events.Note():
                self._note(action.decision)
            case events.Count():
                self.metrics.count(action)
            case events.Observe():
                self.metrics.observe(action)

    def _note(self, decision: data.Decision) -> None:
        self.decisions.append(decision)
        for listener in self.listeners:
            if not listener.full():
                listener.put_nowait(decision)

    def _received(self, sender: str, message: messages.AnyMessage) -> None:
        if isinstance(message, messages.Heartbeat) and message.address:
            self._add_peer(context.name_of(sender), message.address)
        self.handle(events.PeerMessage(sender, message))

    def _add_peer(self, name: str, address: str) -> None:
        if name == self.settings.node.name:
            return
        self.transport.add_peer(name, address)
        if name not in self.node.peers:
            self.node.peers.append(name)

    def _dropped(self, why: str) -> None:
        self.metrics.count(events.Count("peer_drops", label=why[:60]))
        log.debug("Peer traffic dropped: {}.", why)

    def new_stream(self) -> streams.CallerStream:
        """Return a stream for a caller's next request."""
        self.sequence += 1
        stream = streams.CallerStream(f"{self.identity}/c{self.sequence}")
        self.callers[stream.watcher_id] = stream
        return stream

    def new_request_id(self) -> str:
        """Return an ID for a request that arrived at this node."""
        self.sequence += 1
        return f"{self.identity}/{self.sequence}"

    def release(self, stream: streams.CallerStream) -> None:
        """Remove a caller's stream; notify the node if it had not ended."""
        if self.callers.pop(stream.watcher_id, None) is not None and stream.end is None:
            self.handle(events.CallerGone(stream.watcher_id))

    def _dispatch(self, order: events.HandOver) -> None:
        name = (order.request.id, order.attempt)
        task = self.spawn(self.endpoints.run(order, self.handle))
        self.calls[name] = task
        task.add_done_callback(lambda _: self.calls.pop(name, None))

    async def _poll_loads(self) -> None:
        """Request load reports from the engines of this data centre in turn."""
        turn = 0
        while True:
            local = [
                e
                for e in self.node.placement.endpoints.values()
                if e.kind is data.EndpointKind.ENGINE
                and e.data_centre == self.settings.node.data_centre
            ]
            if local:
                turn += 1
                await self._poll_load(local[turn % len(local)])
            await asyncio.sleep(LOAD_POLL_S)

    async def _poll_load(self, endpoint: data.Endpoint) -> None:
        try:
            report = await self.endpoints.load(endpoint)
        except errors.EndpointError:
            return
        self.handle(events.LoadSeen(report))

    async def _get(self, action: events.PlatformGet) -> None:
        status = events.PlatformStatus
        try:
            found = await self.platform.get(action.name)
        except errors.PlatformAbsent:
            answer = events.PlatformAnswer(action.call_id, status.ABSENT)
        except errors.PlatformError as error:
            self._platform_failed(error)
            answer = events.PlatformAnswer(action.call_id, status.UNREACHED)
        else:
            answer = events.PlatformAnswer(action.call_id, status.OK, found.version, found.value)
        self.handle(answer)

    async def _put(self, action: events.PlatformPut) -> None:
        status = events.PlatformStatus
        version = 0
        try:
            version = await self.platform.put(action.name, action.value, action.expected_version)
            outcome = status.OK
        except errors.PlatformConflict:
            outcome = status.CONFLICT
        except errors.PlatformAnswerLost as error:
            self._platform_failed(error)
            outcome = status.UNKNOWN
        except errors.PlatformError as error:
            self._platform_failed(error)
            outcome = status.UNREACHED
        self.handle(events.PlatformAnswer(action.call_id, outcome, version))

    async def _order(self, action: events.CloudOrder) -> None:
        order = protocol.Order(
            action.token,
            action.start,
            action.name,
            action.target,
            action.data_centre,
            action.vm_class,
            action.fencing_token,
        )
        try:
            order_answer = await self.platform.order(order)
            answer = events.CloudAnswer(
                action.call_id, events.CloudStatus(order_answer.status), order_answer.name
            )
        except errors.PlatformError as error:
            self._platform_failed(error)
            answer = events.CloudAnswer(action.call_id, events.CloudStatus.UNKNOWN)
        self.handle(answer)

    async def _poll_offers(self) -> None:
        """Read the cloud's offers while this node is a watcher."""
        while True:
            if self.node.is_watcher():
                try:
                    self.handle(events.OffersSeen(tuple(await self.platform.offers())))
                except errors.PlatformError as error:
                    self._platform_failed(error)
            await asyncio.sleep(OFFER_POLL_S)

    def _platform_failed(self, error: errors.PlatformError) -> None:
        self.metrics.count(events.Count("platform_errors", label=type(error).__name__))

    async def _run_ticks(self) -> None:
        while True:
            self._note_suspension()
            self.handle(events.Tick())
            await asyncio.sleep(node.TICK_MS / 1000)

    def _note_suspension(self) -> None:
        known = self.suspensions
        before, before_ms = known.count, known.total_ms
        known.check()
        if known.count > before:
            self.metrics.count(events.Count("suspensions"))
            log.warning("The process was suspended for {} ms.", known.total_ms - before_ms)

    async def _poll_vms(self) -> None:
        while True:
            request_ms = self.clock.now()
            try:
                listed = await self.platform.vms()
            except errors.PlatformError as error:
                self._platform_failed(error)
            else:
                self.platform_seen_ms = request_ms
                if listed is not None:
                    self._use_vms(listed)
            await asyncio.sleep(VM_POLL_S)

    def _use_vms(self, listed: protocol.VmList) -> None:
        for vm in listed.vms:
            if vm.role == "entry" and vm.address:
                self._add_peer(vm.name, vm.address)
        self.handle(events.EndpointsSeen(protocol.endpoints_of(listed)))
        if listed.gone:
            self.handle(events.NodesGone(tuple(listed.gone)))

    async def _poll_notices(self) -> None:
        """Read reclaim notices while this node is a watcher; other nodes get them from peers."""
        since = 0
        while True:
            if self.node.is_watcher():
                since = await self._read_notices(since)
            await asyncio.sleep(IDLE_S)

    async def _read_notices(self, since: int) -> int:
        """Handle the notices after a number. Returns the number of the last one."""
        try:
            for notice in await self.platform.notices(since):
                since = max(since, notice.number)
                self.handle(events.ReclaimNotice(tuple(notice.names), notice.left_ms))
        except errors.PlatformError as error:
            self._platform_failed(error)
        return since

    async def _watch_config(self) -> None:
        """Watch the configuration's head on the platform."""
        since = -1
        while True:
            try:
                if since < 0:
                    await self._read_config()
                    since = 0
                elif not self.node.is_watcher() and self.node.config.revision:
                    await asyncio.sleep(IDLE_S)
                    continue
                change = await self.platform.watch(publishing.HEAD, since, CONFIG_WAIT_MS)
                since = change.revision
                if change.names:
                    await self._read_config()
            except errors.PlatformRevisionExpired:
                since = -1
            except (errors.PlatformError, msgspec.MsgspecError) as error:
                if isinstance(error, errors.PlatformError):
                    self._platform_failed(error)
                await asyncio.sleep(IDLE_S)

    async def _read_config(self) -> None:
        head = (await publishing.read_head(self.platform)).head
        if head.revision <= self.node.config.revision:
            return
        documents = {}
        for digest in self.node.config.missing(head.manifest):
            text = await self.platform.get(publishing.document_name(digest))
            documents[digest] = text.value.decode()
        self.handle(events.ConfigSeen(head.revision, head.manifest, documents))
        log.info("Configuration revision {} is in force.", self.node.config.revision)
