"""Simulates nodes, endpoints and a platform on virtual time, with faults between them."""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from plumarch.core import clock, context, data, events
from plumarch.node import node
from plumarch.proof import invariants
from plumarch.recovery import keys
from plumarch.standins import model, objects

TOKEN_MS = 30
PREFILL_MS = 40
SERVICE_MS = 20
VM_LIST_LAG_MS = 4_000


@dataclasses.dataclass(slots=True)
class Network:
    """Delays and faults between nodes.

    Attributes:
      lose: fraction of messages lost.
      double: fraction of messages delivered twice.
      late: fraction of messages delayed by up to late_ms.
      cuts: pairs of data centres or nodes that are partitioned.
    """

    delay_ms: int = 2
    jitter_ms: int = 2
    lose: float = 0.0
    double: float = 0.0
    late: float = 0.0
    late_ms: int = 2_000
    cuts: set[frozenset[str]] = dataclasses.field(default_factory=set)
    platform_cuts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Host:
    """A node's process, which can be paused, killed and restarted."""

    name: str
    data_centre: str
    node: node.Node
    alive: bool = True
    paused: bool = False
    inbox: list[events.Event] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Call:
    """A request in progress at a fake endpoint."""

    host: str
    identity: str
    action: events.HandOver
    position: int
    stopped: bool = False
    recomputed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Performance model of a fake engine.

    Attributes:
      prefill_token_ms: additional time for each prompt token not in the prefix cache.
      crowding: relative slowdown of decoding per other request in the batch.
      prefix_tokens: prompt tokens that a cached prefix covers.
      batch: maximum batch size, beyond which requests queue; 0 for no limit.
    """

    prefill_ms: float = PREFILL_MS
    prefill_token_ms: float = 0.0
    token_ms: float = TOKEN_MS
    crowding: float = 0.0
    prefix_tokens: int = 0
    cache_limit: int = 0
    tokens_per_event: int = 1
    batch: int = 0


@dataclasses.dataclass(slots=True)
class FakeEndpoint:
    """An engine or plain service.

    Attributes:
      fencing: highest fencing token seen for each slot.
      break_at: stage at which the next call fails: "", "connect", "sent" or "ran".
      backoff_ms: if set, each call is rejected with this Retry-After.
      announced_rate: request rate announced with each answer, or None.
    """

    info: data.Endpoint
    alive: bool = True
    slow: float = 1.0
    fencing: dict[int, int] = dataclasses.field(default_factory=dict)
    break_at: str = ""
    backoff_ms: int | None = None
    refused: int = 0
    announced_rate: float | None = None
    calls: dict[tuple[str, int], Call] = dataclasses.field(default_factory=dict)
    cached: dict[int, None] = dataclasses.field(default_factory=dict)
    model: EngineModel = EngineModel()
    waiting: list[Call] = dataclasses.field(default_factory=list)

    def prefill(self, request: data.Request) -> int:
        """Return the number of prompt tokens that the prefix cache does not cover."""
        hit = request.prefix in self.cached
        self.cached.pop(request.prefix, None)
        if self.model.cache_limit and request.prefix:
            self.cached[request.prefix] = None
            if len(self.cached) > self.model.cache_limit:
                del self.cached[next(iter(self.cached))]
        return max(0, request.prompt_tokens - (self.model.prefix_tokens if hit else 0))


@dataclasses.dataclass(slots=True)
class FakeCloud:
    """Starts and releases VMs on order.

    Attributes:
      refused: pairs of data centre and VM class without supply.
      lose_answers: fraction of executed orders whose answer is lost.
      answers: answers by order token, so that repeated orders are idempotent.
    """

    start_ms: int = 30_000
    refused: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    lose_answers: float = 0.0
    newest_token: int = 0
    answers: dict[str, tuple[events.CloudStatus, str]] = dataclasses.field(default_factory=dict)
    starts: int = 0
    releases: int = 0


class World:
    """A simulated deployment on one virtual clock."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(1_000)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.store = objects.ObjectStore(random.Random(seed + 1))
        self.network = Network()
        self.cloud = FakeCloud()
        self.exports_kv = True
        self.offers: tuple[data.Offer, ...] = ()
        self.journal = invariants.Journal()
        self.callers: dict[str, invariants.CallerView] = {}
        self.entry: dict[str, str] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.decisions: list[data.Decision] = []
        self.observed: list[events.Observe] = []
        self.incarnations: collections.Counter[str] = collections.Counter()
        self.attempts: dict[tuple[str, int], FakeEndpoint] = {}
        self.caller_events: list[str] = []
        self.crashing_keys: set[str] = set()
        """Keys of requests that crash every endpoint that runs them."""
        self.interfere: Callable[[Host, events.Action], bool] | None = None
        self.bytes_sent: collections.Counter[str] = collections.Counter()

    def at(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        due = self.clock.now() + max(0, delay_ms)
        heapq.heappush(self.queue, (due, next(self.sequence), callback))

    def run(self, for_ms: int) -> None:
        """Advance virtual time and run what is due."""
        end = self.clock.now() + for_ms
        while self.queue and self.queue[0][0] <= end:
            due, _, callback = heapq.heappop(self.queue)
            self.clock.advance_to(due)
            callback()
        self.clock.advance_to(end)

    def start(self, name: str, data_centre: str, peers: tuple[str, ...]) -> Host:
        """Start a node, or a new incarnation of one."""
        self.incarnations[name] += 1
        identity = f"{name}#{self.incarnations[name]}"
        rng = random.Random(f"{identity}/{self.rng.random()}")
        others = tuple(peer for peer in peers if peer != name)
        host = Host(name, data_centre, node.Node(identity, data_centre, self.clock, rng, others))
        self.hosts[name] = host
        self._tick(host)
        self.deliver(host, events.EndpointsSeen(self.listed()))
        return host

    def kill(self, name: str) -> None:
        """Kill a node; its callers lose their connections."""
        host = self.hosts[name]
        host.alive = False
        self.at(VM_LIST_LAG_MS, lambda: self._report_gone(host.node.ctx.node))
        for caller, entry in self.entry.items():
            if entry == self.hosts[name].node.ctx.node:
                self.callers[caller].lost = True

    def _report_gone(self, identity: str) -> None:
        """Report a dead node to all nodes that can reach the platform."""
        if self.store.faults.down:
            self.at(VM_LIST_LAG_MS, lambda: self._report_gone(identity))
            return
        for host in self.hosts.values():
            if not {host.name, host.data_centre} & self.network.platform_cuts:
                self.deliver(host, events.NodesGone((identity,)))

    def restart(self, name: str) -> Host:
        """Start a new incarnation of a node."""
        peers = tuple(self.hosts)
        return self.start(name, self.hosts[name].data_centre, peers)

    def pause(self, name: str) -> None:
        """Freeze a node; its events queue."""
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a frozen node and deliver its queued events."""
        host = self.hosts[name]
        host.paused = False
        inbox = host.inbox
        host.inbox = []
        for event in inbox:
            self.deliver(host, event)

    def _tick(self, host: Host) -> None:
        if not host.alive:
            return
        if not host.paused:
            self.deliver(host, events.Tick())
        self.at(node.TICK_MS, lambda: self._tick(host))

    def deliver(self, host: Host, event: events.Event) -> None:
        """Deliver an event to a node and execute the resulting actions."""
        if not host.alive:
            return
        if host.paused:
            host.inbox.append(event)
            return
        for action in host.node.handle(event):
            # Tests inject faults at an exact action, or suppress it.
            if self.interfere is None or self.interfere(host, action):
                self._perform(host, action)
        self.journal.revision(host.node.ctx.node, host.node.config.revision)

    def _perform(self, host: Host, action: events.Action) -> None:
        if not host.alive:
            return
        match action:
            case events.Send():
                self._send(host, action)
            case events.HandOver():
                self._dispatch(host, action)
            case events.Abort():
                self._abort(action)
            case events.PlatformGet() | events.PlatformPut():
                self._platform(host, action)
            case events.CloudOrder():
                self._order(host, action)
            case events.TellAccepted():
                self._record_accepted(action)
            case events.TellTokens():
                self.callers[action.watcher_id].receive_tokens(action.position, action.tokens)
                upto = action.position + len(action.tokens)
                self._record(action.watcher_id, f"tokens {action.position} to {upto}")
            case events.TellEnd():
                self._record_end(action)
            case events.Note():
                self.decisions.append(action.decision)
            case events.Count():
                self.counts[action.name] += int(action.amount)
            case events.Observe():
                self.observed.append(action)

    def cut(self, one: str, other: str) -> None:
        """Partition two data centres or nodes."""
        self.network.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Reset the network to its defaults."""
        self.network = Network()

    def _is_cut(self, sender: Host, receiver: Host) -> bool:
        ends = itertools.product(
            (sender.name, sender.data_centre), (receiver.name, receiver.data_centre)
        )
        return any(frozenset(pair) in self.network.cuts for pair in ends)

    def _send(self, sender: Host, action: events.Send) -> None:
        self.bytes_sent[type(action.message).__name__] += len(node.encode(action.message))
        receiver = self.hosts.get(context.name_of(action.node))
        if receiver is None or self._is_cut(sender, receiver):
            return
        if self.rng.random() < self.network.lose:
            return
        copies = 2 if self.rng.random() < self.network.double else 1
        for _ in range(copies):
            self._send_one(sender, receiver, action)

    def _send_one(self, sender: Host, receiver: Host, action: events.Send) -> None:
        net = self.network
        delay = net.delay_ms + self.rng.randrange(net.jitter_ms + 1)
        if self.rng.random() < net.late:
            delay += self.rng.randrange(net.late_ms)
        # Encoded and decoded so that nodes share no mutable state.
        message = node.decode(node.encode(action.message))
        event = events.PeerMessage(sender.node.ctx.node, message)
        identity = action.node

        def arrive() -> None:
            # The receiver may have restarted since the message was sent.
            host = self.hosts[receiver.name]
            if "#" in identity and identity != host.node.ctx.node:
                return
            if not self._is_cut(sender, host):
                self.deliver(host, event)

        self.at(delay, arrive)

    def _platform(self, host: Host, action: events.PlatformGet | events.PlatformPut) -> None:
        faults = self.store.faults
        delay = 3 + self.rng.randrange(4) + faults.slow_ms
        cut = host.name in self.network.platform_cuts
        cut = cut or host.data_centre in self.network.platform_cuts
        if cut or faults.down or self.rng.random() < faults.refuse:
            self._answer(host, action.call_id, events.PlatformStatus.UNREACHED, delay)
            return
        self.at(delay, lambda: self._arrive_at_platform(host, action))

    def _answer(
        self,
        host: Host,
        call_id: int,
        status: events.PlatformStatus,
        delay: int,
        stored: objects.Stored | None = None,
    ) -> None:
        version = stored.version if stored else 0
        value = stored.value if stored else b""
        event = events.PlatformAnswer(call_id, status, version, value)
        self.at(delay, lambda: self.deliver(host, event))

    def _arrive_at_platform(
        self, host: Host, action: events.PlatformGet | events.PlatformPut
    ) -> None:
        status = events.PlatformStatus.OK
        stored: objects.Stored | None = None
        if isinstance(action, events.PlatformGet):
            stored = self.store.get(action.name)
            if stored is None:
                status = events.PlatformStatus.ABSENT
        else:
            try:
                version = self.store.put(action.name, action.value, action.expected_version)
                stored = objects.Stored(version, b"")
            except objects.Conflict:
                status = events.PlatformStatus.CONFLICT
            if self.rng.random() < self.store.faults.lose_answers:
                status = events.PlatformStatus.UNKNOWN
                stored = None
        self._answer(host, action.call_id, status, 3, stored)

    def _order(self, host: Host, order: events.CloudOrder) -> None:
        status = events.CloudStatus
        if self.store.faults.down or host.data_centre in self.network.platform_cuts:
            answer = events.CloudAnswer(order.call_id, status.UNKNOWN)
            self.at(5, lambda: self.deliver(host, answer))
            return
        reported, name = self._execute_order(order)
        if self.rng.random() < self.cloud.lose_answers:
            reported = status.UNKNOWN
        answer = events.CloudAnswer(order.call_id, reported, name)
        self.at(10, lambda: self.deliver(host, answer))

    def _execute_order(self, order: events.CloudOrder) -> tuple[events.CloudStatus, str]:
        cloud = self.cloud
        if order.token in cloud.answers:
            return cloud.answers[order.token]
        if order.fencing_token < cloud.newest_token:
            return events.CloudStatus.FENCED, ""
        cloud.newest_token = order.fencing_token
        answer = (events.CloudStatus.DONE, order.name)
        if order.start and (order.data_centre, order.vm_class) in cloud.refused:
            answer = (events.CloudStatus.REFUSED, "")
        elif order.start:
            cloud.starts += 1
            name = f"{order.data_centre}-vm-{cloud.starts}"
            answer = (events.CloudStatus.DONE, name)
            self.at(cloud.start_ms, lambda: self._start_vm(name, order))
        else:
            cloud.releases += 1
            self.at(1_000, lambda: self._release_vm(order.name))
        cloud.answers[order.token] = answer
        return answer

    def _start_vm(self, name: str, order: events.CloudOrder) -> None:
        offer = next(
            o for o in self.offers if (o.data_centre, o.name) == (order.data_centre, order.vm_class)
        )
        self.add_endpoint(
            data.Endpoint(
                name,
                order.data_centre,
                data.EndpointKind.ENGINE,
                f"engine://{name}",
                (order.target,),
                offer.capacity,
                offer.name,
                offer.price,
                reclaimable=offer.reclaimable,
            )
        )
        self.publish_endpoints()

    def _release_vm(self, name: str) -> None:
        if name in self.endpoints:
            self.kill_endpoint(name)
            self.publish_endpoints()

    def publish_offers(self, offers: tuple[data.Offer, ...]) -> None:
        """Publish VM offers to all nodes."""
        self.offers = offers
        for host in self.hosts.values():
            self.deliver(host, events.OffersSeen(offers))

    def add_endpoint(self, info: data.Endpoint) -> FakeEndpoint:
        """Add an endpoint; publish_endpoints makes it known to nodes."""
        endpoint = FakeEndpoint(info)
        self.endpoints[info.name] = endpoint
        return endpoint

    def listed(self) -> tuple[data.Endpoint, ...]:
        """Return the platform's list of endpoints."""
        return tuple(e.info for e in self.endpoints.values() if e.alive)

    def publish_endpoints(self) -> None:
        """Publish the platform's endpoint list to all nodes."""
        for host in self.hosts.values():
            self.deliver(host, events.EndpointsSeen(self.listed()))

    def kill_endpoint(self, name: str) -> None:
        """Crash an endpoint; its calls fail after bytes were written."""
        endpoint = self.endpoints[name]
        endpoint.alive = False
        for call in list(endpoint.calls.values()):
            self._fail(call, True, "connection reset", broken=True)
        endpoint.calls.clear()

    def _dispatch(self, host: Host, action: events.HandOver) -> None:
        endpoint = self.endpoints[action.endpoint.name]
        call = Call(host.name, host.node.ctx.node, action, len(action.tokens))
        self.attempts[(action.request.id, action.attempt)] = endpoint
        delay = 1 + self.rng.randrange(3)
        self.at(delay, lambda: self._connect(endpoint, call))

    def _connect(self, endpoint: FakeEndpoint, call: Call) -> None:
        request = call.action.request
        if not endpoint.alive or endpoint.break_at == "connect":
            endpoint.break_at = "" if endpoint.alive else endpoint.break_at
            self._fail(call, False, "connection refused")
            return
        if endpoint.info.checks_fencing and request.key:
            slot = keys.slot_of(request.workspace, request.key)
            if call.action.fencing_token < endpoint.fencing.get(slot, 0):
                self._fail(call, False, "fencing token too old")
                return
            endpoint.fencing[slot] = call.action.fencing_token
        self._execute(endpoint, call)

    def _execute(self, endpoint: FakeEndpoint, call: Call) -> None:
        request = call.action.request
        if endpoint.backoff_ms is not None:
            endpoint.refused += 1
            self._fail(call, False, "endpoint refused the call", backoff_ms=endpoint.backoff_ms)
            return
        if endpoint.break_at == "sent":
            # The request is never executed, but the node cannot know.
            endpoint.break_at = ""
            self._fail(call, True, "connection reset while sending")
            return
        rate = events.EndpointRate(request.id, call.action.attempt, endpoint.announced_rate)
        self._to_node(call, rate)
        self.journal.executions.append(
            invariants.Execution(
                request.workspace,
                request.key,
                request.id,
                endpoint.info.name,
                self.clock.now(),
                request.repeatable,
            )
        )
        if request.key in self.crashing_keys:
            endpoint.calls[(request.id, call.action.attempt)] = call
            self.at(PREFILL_MS, lambda: self.kill_endpoint(endpoint.info.name))
            return
        if endpoint.break_at == "ran":
            endpoint.break_at = ""
            self._fail(call, True, "connection reset before the answer", broken=True)
            return
        endpoint.calls[(request.id, call.action.attempt)] = call
        if request.kind is data.EndpointKind.SERVICE:
            self.at(int(SERVICE_MS * endpoint.slow), lambda: self._finish(endpoint, call))
        elif endpoint.model.batch and len(endpoint.calls) > endpoint.model.batch:
            endpoint.waiting.append(call)
        else:
            self._prefill(endpoint, call)

    def _remove_from_batch(
        self, endpoint: FakeEndpoint, request_id: str, attempt: int
    ) -> Call | None:
        """Remove a call from an engine and start the next queued one."""
        call = endpoint.calls.pop((request_id, attempt), None)
        if call is None:
            return None
        call.stopped = True
        if call in endpoint.waiting:
            endpoint.waiting.remove(call)
        elif endpoint.waiting:
            following = endpoint.waiting.pop(0)
            self.at(0, lambda: self._prefill(endpoint, following))
        return call

    def _prefill(self, endpoint: FakeEndpoint, call: Call) -> None:
        action = call.action
        if action.import_from and self._import(call):
            self.at(5, lambda: self._make_token(endpoint, call))
            return
        if call.position or action.attempt % 1_000 > 1:
            call.recomputed = action.request.prompt_tokens + call.position
        speed = endpoint.model
        tokens = endpoint.prefill(action.request) + call.position
        delay = speed.prefill_ms + speed.prefill_token_ms * tokens
        self.at(int(delay * endpoint.slow), lambda: self._make_token(endpoint, call))

    def _import(self, call: Call) -> bool:
        action = call.action
        source = self.attempts.get((action.request.id, action.import_attempt))
        if source is None or not source.alive or not self.exports_kv:
            return False
        old = self._remove_from_batch(source, action.request.id, action.import_attempt)
        return old is not None

    def _make_token(self, endpoint: FakeEndpoint, call: Call) -> None:
        if call.stopped or not endpoint.alive:
            return
        request = call.action.request
        if call.position >= request.max_tokens:
            self._finish(endpoint, call)
            return
        speed = endpoint.model
        start = call.position
        first = start == len(call.action.tokens)
        count = 1 if first else min(speed.tokens_per_event, request.max_tokens - start)
        texts = tuple(model.token(request.seed, start + n) for n in range(count))
        event = events.EndpointTokens(request.id, call.action.attempt, start, texts)
        call.position += count
        self._to_node(call, event)
        left = min(speed.tokens_per_event, max(1, request.max_tokens - call.position))
        crowd = 1.0 + speed.crowding * (len(endpoint.calls) - 1)
        delay = speed.token_ms * crowd * left * endpoint.slow
        self.at(int(delay), lambda: self._make_token(endpoint, call))

    def _finish(self, endpoint: FakeEndpoint, call: Call) -> None:
        request = call.action.request
        if self._remove_from_batch(endpoint, request.id, call.action.attempt) is None:
            return
        body = b"" if request.kind is data.EndpointKind.ENGINE else request.id.encode()
        reply = data.Reply(200, "text/plain", body)
        event = events.EndpointDone(request.id, call.action.attempt, reply, call.recomputed)
        self._to_node(call, event)

    def _fail(
        self, call: Call, delivered: bool, why: str, broken: bool = False, backoff_ms: float = 0.0
    ) -> None:
        request = call.action.request
        event = events.EndpointFailed(
            request.id, call.action.attempt, delivered, why, broken, backoff_ms
        )
        self._to_node(call, event)

    def _to_node(self, call: Call, event: events.Event) -> None:
        def arrive() -> None:
            host = self.hosts[call.host]
            # A restarted node has none of its former connections.
            if host.node.ctx.node == call.identity:
                self.deliver(host, event)

        self.at(1, arrive)

    def _abort(self, action: events.Abort) -> None:
        endpoint = self.attempts.get((action.request_id, action.attempt))
        if endpoint is not None:
            self._remove_from_batch(endpoint, action.request_id, action.attempt)

    def reclaim(self, names: tuple[str, ...], left_ms: int, notified: tuple[str, ...]) -> None:
        """Announce a reclaim of VMs to some nodes and remove the VMs at the deadline."""
        for name in names:
            if name in self.endpoints:
                self.journal.leaving(name, self.clock.now())
        for name in notified:
            self.deliver(self.hosts[name], events.ReclaimNotice(names, left_ms))
        self.at(left_ms, lambda: self._remove_vms(names))

    def _remove_vms(self, names: tuple[str, ...]) -> None:
        for name in names:
            if name in self.endpoints:
                self.kill_endpoint(name)
            elif name in self.hosts:
                self.kill(name)
        self.publish_endpoints()

    def call(self, name: str, request: data.Request) -> invariants.CallerView:
        """Submit a request through an entry node."""
        caller = self._new_caller(name, request.workspace, request)
        caller.key = request.key
        caller.request_id = request.id
        self.deliver(self.hosts[name], events.Arrived(caller.name, request))
        return caller

    def reattach(self, name: str, former: invariants.CallerView) -> invariants.CallerView:
        """Resume a request through another node after its connection broke."""
        caller = self._new_caller(name, former.workspace, former.request)
        caller.key = former.key
        caller.tokens = list(former.tokens)
        caller.accepted = former.accepted
        host = self.hosts[name]
        position = len(caller.tokens)
        if former.request is not None and former.request.key:
            request = dataclasses.replace(
                former.request, id=f"{host.node.ctx.node}/again{len(self.callers)}"
            )
            self.deliver(host, events.Arrived(caller.name, request, position))
        else:
            self._attach(host, caller, position)
        return caller

    def _attach(self, host: Host, caller: invariants.CallerView, position: int) -> None:
        """Attach a caller to the request with its key."""
        attach = events.Attach(caller.name, caller.workspace, caller.key, position)
        self.deliver(host, attach)

    def fetch(self, name: str, former: invariants.CallerView) -> invariants.CallerView:
        """Request the result of an earlier request by its key."""
        caller = self._new_caller(name, former.workspace, None)
        caller.key = former.key
        self._attach(self.hosts[name], caller, 0)
        return caller

    def _new_caller(
        self, name: str, workspace: str, request: data.Request | None
    ) -> invariants.CallerView:
        expected: tuple[str, ...] | None = None
        if request is not None and request.kind is data.EndpointKind.ENGINE:
            expected = tuple(model.answer(request.seed, request.max_tokens))
        caller = invariants.CallerView(f"caller{len(self.callers)}", workspace, request, expected)
        self.callers[caller.name] = caller
        self.journal.callers.append(caller)
        self.entry[caller.name] = self.hosts[name].node.ctx.node
        return caller

    def _record(self, caller: str, what: str) -> None:
        self.caller_events.append(f"{self.clock.now():7} {caller:9} {what}")

    def _record_accepted(self, action: events.TellAccepted) -> None:
        weakened = f", weakened: {action.weakened}" if action.weakened else ""
        self._record(action.watcher_id, f"accepted as {action.key}{weakened}")
        caller = self.callers[action.watcher_id]
        caller.accepted = True
        caller.key = action.key
        caller.request_id = action.request_id
        caller.weakened = action.weakened

    def _record_end(self, action: events.TellEnd) -> None:
        reason = f" ({action.reason})" if action.reason else ""
        self._record(action.watcher_id, f"{action.outcome}{reason}")
        caller = self.callers[action.watcher_id]
        caller.ends.append(action.outcome)
        caller.reasons.append(action.reason)
        caller.reply = action.reply
        caller.request_id = action.request_id or caller.request_id


def build(
    nodes: dict[str, str], engines_each: int = 2, services_each: int = 1, seed: int = 1
) -> World:
    """Build a world whose nodes have started and joined.

    Args:
      nodes: data centre by node name.
      engines_each: engines in each data centre, serving the model "writer".
      services_each: plain services "tickets" in each data centre.
    """
    world = World(seed)
    for centre in sorted(set(nodes.values())):
        for number in range(engines_each):
            world.add_endpoint(
                data.Endpoint(
                    f"{centre}-engine-{number}",
                    centre,
                    data.EndpointKind.ENGINE,
                    f"engine://{centre}/{number}",
                    ("writer",),
                )
            )
        for number in range(services_each):
            world.add_endpoint(
                data.Endpoint(
                    f"{centre}-tickets-{number}",
                    centre,
                    data.EndpointKind.SERVICE,
                    f"service://{centre}/{number}",
                    ("tickets",),
                    checks_fencing=number % 2 == 1,
                )
            )
    for name, centre in nodes.items():
        world.start(name, centre, tuple(nodes))
    world.run(6_000)
    return world


def request(
    world: World,
    entry: str,
    request_class: data.RequestClass,
    key: str = "",
    repeatable: bool = True,
    max_tokens: int = 20,
    workspace: str = "okefenokee",
    timeout_ms: int = 120_000,
) -> data.Request:
    """Build a request as a node's shell does."""
    unique = f"{world.hosts[entry].node.ctx.node}/{len(world.callers)}"
    is_service = request_class is data.RequestClass.LOOKUP
    seed_text = f"{workspace}/{key or unique}"
    return data.Request(
        unique,
        workspace,
        "tickets" if is_service else "writer",
        data.EndpointKind.SERVICE if is_service else data.EndpointKind.ENGINE,
        request_class,
        key=key,
        minted_epoch=keys.issued_epoch(key),
        fingerprint=1,
        repeatable=repeatable,
        prompt_tokens=100,
        max_tokens=0 if is_service else max_tokens,
        seed=sum(seed_text.encode()),
        timeout_ms=timeout_ms,
    )
