"""Runs two deployments under load, reclaims a data centre and checks all guarantees."""

import asyncio
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Awaitable

import tabulate

from plumarch.core import data
from plumarch.daemon import logs
from plumarch.demo import deployment, evidence
from plumarch.load import callers, report
from plumarch.proof import invariants

PLANS = (
    deployment.Plan(
        "okefenokee", ("hall-a", "hall-b"), "firmware-writer", "queue-api", "examples/okefenokee"
    ),
    deployment.Plan(
        "leasquell", ("wien-a", "linz-one"), "contract-writer", "quote-api", "examples/leasquell"
    ),
)
WORKSPACES = {
    "okefenokee": ("release", "pumps", "valves", "sensors", "medical"),
    "leasquell": ("vienna", "linz", "graz", "salzburg", "tyrol"),
}
TICKETS = {"okefenokee": "/tickets", "leasquell": "/credit-checks"}
WAITING = {"okefenokee": data.RequestClass.REVIEW, "leasquell": data.RequestClass.DRAFT}
ROUNDS = 8
ROUND_S = 1.5
RECLAIM_ROUND = 3
NOTICE_MS = 5_000
CHAT_TOKENS = 60
WAITING_TOKENS = 150
PROGRESS_S = 2.0
"""Interval between progress lines."""

SHOWN = 3
"""Maximum number of printed decisions with the same workspace, kind and reason."""


class Demo:
    """One deployment under load."""

    def __init__(self, plan: deployment.Plan, seed: int) -> None:
        self.plan = plan
        self.deployment = deployment.Deployment(plan)
        self.seed = seed
        self.rng = random.Random(seed)
        self.tasks: list[asyncio.Task[callers.Outcome]] = []

    def targets(self) -> list[callers.Target]:
        """Return the load targets, one per workspace."""
        name = self.plan.name
        return [
            callers.Target(
                f"{name}-{part}",
                f"{name}-{part}-token",
                self.plan.model,
                self.plan.service,
                TICKETS[name],
            )
            for part in WORKSPACES[name]
        ]

    async def run(self) -> list[callers.Outcome]:
        """Run a mixed load during a reclaim and return the outcome of each request."""
        balancer = callers.Balancer(list(self.deployment.urls().values()), self.seed)
        async with callers.client() as http:
            callers_by_workspace = [
                callers.Caller(http, balancer, target) for target in self.targets()
            ]
            for number in range(ROUNDS):
                for caller in callers_by_workspace:
                    self._send_round(caller, number)
                if number == RECLAIM_ROUND:
                    self.reclaim_task = asyncio.ensure_future(self._reclaim(balancer))
                await asyncio.sleep(ROUND_S)
            waiting = asyncio.ensure_future(self._print_progress())
            outcomes = await asyncio.gather(*self.tasks)
            await self.reclaim_task
            waiting.cancel()
        return outcomes

    async def _print_progress(self) -> None:
        """Print the number of received answers at intervals."""
        while True:
            left = sum(not task.done() for task in self.tasks)
            print_line(
                f"{self.plan.name}: {len(self.tasks) - left} of {len(self.tasks)} answers received"
            )
            await asyncio.sleep(PROGRESS_S)

    def _send_round(self, caller: callers.Caller, number: int) -> None:
        name = caller.target.workspace
        seed = self.seed * 1000 + number
        waiting = WAITING[self.plan.name]
        self._start(caller.chat(f"{name}-chat-{number}", seed, CHAT_TOKENS))
        self._start(caller.ticket(f"{name}-once-{number}"))
        for part in range(3):
            self._start(caller.lookup(f"{name}-status-{number}-{part}"))
        if number % 2 == 1:
            key = f"{name}-{waiting}-{number}"
            self._start(caller.submit(key, waiting, seed, WAITING_TOKENS))

    def _start(self, work: Awaitable[callers.Outcome]) -> None:
        """Send a request at a random time within the round."""
        delay = self.rng.uniform(0, ROUND_S)

        async def later() -> callers.Outcome:
            await asyncio.sleep(delay)
            return await work

        self.tasks.append(asyncio.ensure_future(later()))

    async def _reclaim(self, balancer: callers.Balancer) -> None:
        centre = self.plan.centres[0]
        print_line(f"--- {centre} will be reclaimed in {NOTICE_MS} ms: nodes, engines and services")
        self.deployment.announce(centre, NOTICE_MS)
        leaving = [
            url
            for name, url in self.deployment.urls().items()
            if self.deployment.daemons[name].settings.node.data_centre == centre
        ]
        # The platform's balancer removes nodes only after failed readiness checks.
        await asyncio.sleep(1.0)
        for url in leaving:
            balancer.remove(url)
        await asyncio.sleep(NOTICE_MS / 1000 - 1.0)
        await self.deployment.remove_centre(centre)
        print_line(f"--- {centre}: all VMs stopped")

    def journal(self, outcomes: list[callers.Outcome]) -> invariants.Journal:
        """Return a journal of outcomes and executions for the invariants."""
        journal = invariants.Journal([outcome.view for outcome in outcomes])
        for (workspace, key), count in self.deployment.executions().items():
            for _ in range(count):
                once = "-once-" in key
                journal.executions.append(
                    invariants.Execution(workspace, key if once else "", "", "", 0, not once)
                )
        return journal


def print_stories(
    log_file: evidence.Evidence, outcomes: list[callers.Outcome], broken: list[str]
) -> None:
    """Print the story of each request that violated a guarantee."""
    for outcome in outcomes:
        if any(outcome.view.name in text for text in broken):
            print_line(f"\n--- the story of {outcome.view.name}")
            print_line(log_file.story(outcome.view.key))


async def show_decisions(name: str, queue: asyncio.Queue[data.Decision]) -> None:
    """Print decisions as they occur, at most SHOWN with the same workspace, kind and reason."""
    shown: dict[tuple[str, str, str], int] = {}
    while True:
        decision = await queue.get()
        if decision.kind not in deployment.WATCHED or decision.kind == "slot":
            continue
        group = (decision.workspace, decision.kind, decision.why)
        shown[group] = shown.get(group, 0) + 1
        if shown[group] > SHOWN:
            continue
        others = ", ".join(f"{c.endpoint} {c.note or round(c.score)}" for c in decision.considered)
        node = decision.node.partition("#")[0]
        print_line(
            f"{node:11} {decision.workspace or name:20} {decision.kind:7}"
            f" {decision.choice.partition('#')[0]}: {decision.why}"
            + (f" [{others}]" if others else "")
        )


def print_line(text: str) -> None:
    """Print and flush a line."""
    print(text, flush=True)


async def main() -> int:
    """Run the demo.

    Returns:
      0 if all guarantees held, else 1.
    """
    logs.set_up("ERROR", json_lines=False)
    start = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="plumarch-demo-"))
    demos = [Demo(plan, number + 1) for number, plan in enumerate(PLANS)]
    await asyncio.gather(*(demo.deployment.start() for demo in demos))
    print_line(f"Two deployments are ready after {time.monotonic() - start:.1f} s.")
    watchers = [
        asyncio.ensure_future(show_decisions(demo.plan.name, demo.deployment.listen()))
        for demo in demos
    ]
    logged = [evidence.Evidence(folder, demo.plan.name, demo.deployment.listen()) for demo in demos]
    watchers += [asyncio.ensure_future(log_file.record()) for log_file in logged]
    results = await asyncio.gather(*(demo.run() for demo in demos))
    broken: list[str] = []
    table = []
    hours = (time.monotonic() - start) / 3600
    for demo, outcomes, log_file in zip(demos, results, logged, strict=True):
        journal = demo.journal(outcomes)
        found = invariants.violations(journal)
        found += invariants.accepted_and_unfinished(journal)
        found += [f"{o.view.name} got no answer" for o in outcomes if not o.view.ends]
        broken += found
        log_file.close(outcomes)
        print_stories(log_file, outcomes, found)
        more = {
            f"{demo.plan.name}-{WORKSPACES[demo.plan.name][0]}": {
                "recomputed tokens (all)": demo.deployment.recomputed(),
                "cost (all)": round(demo.deployment.cost(hours), 4),
            }
        }
        table += report.rows(outcomes, more)
    for watcher in watchers:
        watcher.cancel()
    await asyncio.gather(*(demo.deployment.stop() for demo in demos))
    print_line("\n" + tabulate.tabulate(table, headers="keys"))
    for text in broken:
        print_line(f"GUARANTEE VIOLATED: {text}")
    took = time.monotonic() - start
    print_line(
        f"\n{'All guarantees held' if not broken else 'Guarantees were violated'}, in {took:.0f} s."
    )
    print_line(f"Logs for `plumarch story KEY LOGS`: {folder}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
