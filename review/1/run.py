"""DRAIN: after one unreadable entry in the store, no gateway hears of a worker that leaves."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import deployment, gateways, record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = gateways.BOUNDS["drain_ms"] / 1000.0
SERVES_ON_S = DRAIN_S + 4.0
"""A worker serves for `drain_ms` after the store accepted that it leaves, and longer."""

GAP_S = 0.1
UNREADABLE = "\ud800"
"""In JSON the six signs `\\ud800`, which stand for no character."""


def foreign_entry() -> dict[str, object]:
    """Return the entry of another writer, whose state is none that the pages name."""
    return {
        "service": deployment.SERVICE,
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": UNREADABLE,
        "cold_remaining_ms": 0,
        "sequence": 1,
    }


async def play(world: deployment.Deployment, log: record.Record) -> bool:
    """Release one of three workers beside the foreign entry; return whether the rule held."""
    began = time.monotonic()
    sending = asyncio.create_task(world.callers.run(world.fronts(), GAP_S, began + 22.0))
    await asyncio.sleep(5.0)
    if TROUBLE:
        await world.platform.put("servers", "x-foreign", foreign_entry())
        log.write("trouble", entry="x-foreign")
    await asyncio.sleep(3.0)
    new = await world.add_worker(4)
    await asyncio.sleep(1.0)
    old = world.workers["i-00000001"]
    accepted = await old.drain()
    log.write("draining", worker=old.name)
    await asyncio.sleep(SERVES_ON_S)
    in_work = set(old.arrived) - old.whole
    await old.end()
    log.write("ended", worker=old.name, in_work=sorted(in_work))
    await sending
    late = sorted(at - accepted for at in old.arrived.values() if at > accepted + DRAIN_S)
    lost = {one.name: one.outcome for one in world.callers.requests if one.name in in_work}
    log.write("outcomes", all=world.callers.outcomes(), cut_at_the_end=lost)
    log.write("result", late=len(late), latest_s=late[-1] if late else None, new=len(new.arrived))
    print(f"requests that reached {old.name} over {DRAIN_S} s after its leaving: {len(late)}")
    print(f"requests that the new worker {new.name} ran: {len(new.arrived)}")
    print(f"in work when {old.name} ended, and their callers' outcomes: {lost}")
    print(f"all outcomes: {world.callers.outcomes()}")
    return not late


deployment.run(FOLDER, play)
