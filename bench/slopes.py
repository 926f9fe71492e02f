"""Measures unit costs for docs/CAPACITY.md and writes them to bench/slopes.json.

    python -m bench.slopes

Counts and bytes are deterministic. Processor times are medians and depend on the machine.
"""

import gc
import json
import pathlib
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

from plumarch.config import state as config_state
from plumarch.core import clock, context, data, events, messages
from plumarch.limits import fair_queue
from plumarch.membership import members
from plumarch.node import node, runs
from plumarch.recovery import keys
from plumarch.routing import placement
from plumarch.standins import virtual

PATH = pathlib.Path(__file__).parent / "slopes.json"
REPEATS = 5
TEMPLATE = "[template]\nname = desk\n"


def median_us(work: Callable[[], None], count: int) -> float:
    """Return the processor time of a call in microseconds, the median of REPEATS batches."""
    found = []
    for _ in range(REPEATS):
        start = time.process_time()
        for _ in range(count):
            work()
        found.append((time.process_time() - start) / count * 1e6)
    return round(statistics.median(found), 2)


def fit(points: dict[int, float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line through points."""
    slope, start = statistics.linear_regression(list(points), list(points.values()))
    return round(slope, 4), round(start, 3)


def bytes_each(make: Callable[[int], object], count: int) -> int:
    """Return the mean memory of an object in bytes, over count objects."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [make(number) for number in range(count)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(kept) == count
    return round((after - before) / count)


def record(number: int) -> data.KeyRecord:
    """Return the key record of a finished ticket."""
    reply = data.Reply(200, "application/json", b"x" * 200)
    return data.KeyRecord(
        "workspace",
        f"key-{number}",
        f"a1#1/{number}",
        "a1#1",
        number,
        data.KeyState.DONE,
        reply=reply,
    )


def request(number: int, tokens: int = 300) -> data.Request:
    """Return a chat request with a body of 2 kB."""
    return data.Request(
        f"a1#1/{number}",
        "workspace",
        "writer",
        data.EndpointKind.ENGINE,
        data.RequestClass.CHAT,
        b"x" * 2_000 + str(number).encode(),
        prompt_tokens=500,
        max_tokens=tokens,
    )


def build_run(number: int) -> runs.Run:
    """Return a run with 300 generated tokens."""
    run = runs.Run(request(number), 0)
    run.tokens = [f"token{number}-{n}" for n in range(300)]
    return run


def memory() -> dict[str, int]:
    """Return the bytes of one object of each kind of state."""
    table = keys.Table()
    ctx = context.Context("a1#1", "a", clock.ManualClock(), random.Random(1))
    chooser = placement.Placement(ctx)
    return {
        "key record": bytes_each(lambda n: table.put(record(n), n), 5_000),
        "run with 300 tokens": bytes_each(build_run, 300),
        "copy of a 2 kB request": bytes_each(request, 2_000),
        "member": bytes_each(
            lambda n: members.Member(f"node-{n}#1", "a", data.NodeState.LIVE, n), 2_000
        ),
        "endpoint": bytes_each(
            lambda n: (endpoint(n), chooser.stats.setdefault(str(n), placement.EndpointStats())),
            2_000,
        ),
        "workspace": bytes_each(workspace_state, 500),
    }


def endpoint(number: int) -> data.Endpoint:
    """Return an engine that serves the model."""
    name = f"centre-engine-{number}"
    return data.Endpoint(name, "a", data.EndpointKind.ENGINE, f"http://{name}", ("writer",))


def workspace_text(number: int, weight: int = 1) -> str:
    """Return a workspace document of typical length."""
    return (
        f"[workspace]\nname = w{number}\ntemplate = desk\ntoken_sha256 = {number:064d}\n"
        f"model = writer\nweight = {weight}\ndata_centres = a, b, c\n"
        "vm_classes = reclaimable-small, on-demand-small\n[class.chat]\nfirst_token_ms = 460\n"
    )


def workspace_state(number: int) -> object:
    """Return the state that a node keeps of a workspace."""
    from plumarch.config import rendering

    text = workspace_text(number)
    return text, rendering.render("w", text, TEMPLATE), config_state.digest_of(text)


def placement_times() -> dict[int, float]:
    """Return microseconds per placement by number of endpoints."""
    found = {}
    for count in (10, 30, 143, 375):
        ctx = context.Context("a1#1", "a", clock.ManualClock(), random.Random(1))
        chooser = placement.Placement(ctx)
        chooser.update(tuple(endpoint(n) for n in range(count)))
        sample_request = request(1)
        found[count] = median_us(lambda p=chooser, a=sample_request: p.choose(a, frozenset()), 300)
    return found


def tick_times() -> dict[int, float]:
    """Return microseconds per idle tick by number of nodes in the region."""
    found = {}
    for count in (6, 24, 56):
        world = region(count)
        owner = world.hosts["a0"].node
        found[count] = median_us(lambda n=owner: n.handle(events.Tick()), 400)
    return found


def heartbeat_times() -> dict[int, float]:
    """Return microseconds to handle a heartbeat by number of nodes in the region."""
    found = {}
    for count in (6, 24, 56):
        world = region(count)
        listener = world.hosts["a0"].node
        heartbeat = messages.Heartbeat("b", data.NodeState.LIVE, "127.0.0.1:1", [(99, 1)], [], 0)
        event = events.PeerMessage("b0#1", heartbeat)
        found[count] = median_us(lambda n=listener, e=event: n.handle(e), 400)
    return found


def region(count: int) -> virtual.World:
    """Return an idle region of nodes in three data centres."""
    nodes = {f"{'abc'[n % 3]}{n // 3}": "abc"[n % 3] for n in range(count)}
    return virtual.build(nodes, engines_each=1, services_each=1)


def control_bytes() -> dict[int, float]:
    """Return bytes per second sent by an idle node, by number of nodes in the region."""
    found = {}
    for count in (6, 24, 56):
        world = region(count)
        world.bytes_sent.clear()
        world.run(20_000)
        found[count] = round(sum(world.bytes_sent.values()) / count / 20, 1)
    return found


def claim_cost() -> dict[str, float]:
    """Return control bytes and microseconds per request that is not repeatable."""
    world = region(6)
    world.bytes_sent.clear()
    quiet = world.bytes_sent
    start = time.process_time()
    for number in range(500):
        entry = f"{'abc'[number % 3]}0"
        sample_request = virtual.request(
            world, entry, data.RequestClass.LOOKUP, f"k{number}", repeatable=False
        )
        world.call(entry, sample_request)
        if number % 5 == 4:
            world.run(40)
    spent = time.process_time() - start
    kinds = ("Claim", "ClaimAnswer", "Replicate", "Replicated", "Settle", "SettleAnswer")
    size = sum(quiet[kind] for kind in kinds)
    return {"bytes": round(size / 500, 1), "us": round(spent / 500 * 1e6, 1)}


def copy_cost() -> dict[str, float]:
    """Return bytes sent to replicate an accepted review, without its key."""
    world = region(6)
    world.bytes_sent.clear()
    for number in range(50):
        sample_request = virtual.request(world, "a0", data.RequestClass.REVIEW, f"r{number}")
        world.call("a0", sample_request)
        world.run(1_000)
    sent = world.bytes_sent
    size = sent["CopyPut"] + sent["CopyAck"] + sent["CopyDrop"]
    return {"bytes without body": round(size / 50, 1)}


def configuration_cost() -> dict[str, dict[int, float]]:
    """Return bytes and updates per node and change, and propagation time, by number of nodes."""
    sizes: dict[int, float] = {}
    counts: dict[int, float] = {}
    times: dict[int, float] = {}
    for count in (6, 24, 96):
        world = region(count)
        _configure(world, 1, 1)
        world.run(10_000)
        world.bytes_sent.clear()
        start = world.clock.now()
        _configure(world, 2, 2)
        while any(h.node.config.revision < 2 for h in world.hosts.values()):
            world.run(10)
        times[count] = world.clock.now() - start
        sent = world.bytes_sent
        sizes[count] = round((sent["ConfigAsk"] + sent["ConfigGive"]) / count, 1)
        counts[count] = round(world.counts["config_applied"] / count, 2)
    return {"bytes": sizes, "applied": counts, "in force ms": times}


def _configure(world: virtual.World, revision: int, weight: int) -> None:
    texts = {f"workspace/w{n}": workspace_text(n) for n in range(100)}
    texts["template/desk"] = TEMPLATE
    texts["workspace/w0"] = workspace_text(0, weight)
    manifest = {name: config_state.digest_of(text) for name, text in texts.items()}
    documents = {manifest[name]: text for name, text in texts.items()}
    event = events.ConfigSeen(revision, manifest, documents)
    for host in world.hosts.values():
        if host.node.is_watcher():
            world.deliver(host, event)


def rendering_times() -> dict[str, dict[int, float]]:
    """Return microseconds per change, by diff and by full rebuild, by number of workspaces."""
    diff: dict[int, float] = {}
    rebuild: dict[int, float] = {}
    for count in (5, 500):
        diff[count] = _render_us(count, fresh=False)
        rebuild[count] = _render_us(count, fresh=True)
    return {"by diff": diff, "rebuild all": rebuild}


def _render_us(count: int, fresh: bool) -> float:
    ctx = context.Context("a1#1", "a", clock.ManualClock(), random.Random(1))
    applied = config_state.ConfigState(ctx)
    versions = []
    for weight in (1, 2):
        texts = {f"workspace/w{n}": workspace_text(n) for n in range(count)}
        texts["template/desk"] = TEMPLATE
        texts["workspace/w0"] = workspace_text(0, weight)
        manifest = {name: config_state.digest_of(text) for name, text in texts.items()}
        versions.append((manifest, {manifest[n]: t for n, t in texts.items()}))
    revision = 0

    def change() -> None:
        nonlocal revision, applied
        revision += 1
        target = config_state.ConfigState(ctx) if fresh else applied
        target.apply(revision, *versions[revision % 2])

    change()
    return median_us(change, 3 if fresh else 20)


def queue_us() -> float:
    """Return microseconds to push and pop a request at a queue of 1,000."""
    queue = fair_queue.FairQueue()
    for number in range(1_000):
        queue.push(_entry(number))

    def turn() -> None:
        taken = queue.pop(0, lambda _: True)
        assert taken is not None
        queue.push(taken)

    return median_us(turn, 1_000)


def _entry(number: int) -> fair_queue.Entry:
    return fair_queue.Entry(
        str(number), f"w{number % 10}", data.RequestClass.CHAT, "writer", 1.0, 0
    )


def token_us() -> float:
    """Return microseconds of the node's decisions per token."""
    world = virtual.build({"a1": "a"})
    sample_request = virtual.request(world, "a1", data.RequestClass.CHAT, max_tokens=100_000)
    world.call("a1", sample_request)
    world.run(50)
    owner: node.Node = world.hosts["a1"].node
    run = owner.table.active[sample_request.id]
    attempt = run.attempt()

    def one() -> None:
        owner.handle(events.EndpointTokens(sample_request.id, attempt, len(run.tokens), ("x",)))

    return median_us(one, 2_000)


def main() -> None:
    """Take all measurements, write and print them."""
    slopes = {
        "memory bytes": memory(),
        "placement us by endpoints": placement_times(),
        "tick us by nodes": tick_times(),
        "heartbeat us by nodes": heartbeat_times(),
        "control bytes a node and second by nodes": control_bytes(),
        "claim": claim_cost(),
        "copy": copy_cost(),
        "configuration by nodes": configuration_cost(),
        "change us by workspaces": rendering_times(),
        "queue us": queue_us(),
        "token decision us": token_us(),
    }
    PATH.write_text(json.dumps(slopes, indent=2) + "\n")
    print(PATH.read_text())


if __name__ == "__main__":
    main()
