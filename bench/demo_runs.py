"""Runs the demo repeatedly, optionally under CPU contention: python -m bench.demo_runs FOLDER."""

import asyncio
import dataclasses
import multiprocessing
import os
import pathlib
import sys
import time

import fire
import tabulate

RUN_LIMIT_S = 180.0
"""Runs that take longer are killed and count as failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Exit code and duration of one run."""

    number: int
    code: int
    took_s: float


def spin(until_s: float) -> None:
    """Keep one core busy until a time of the monotonic clock."""
    while time.monotonic() < until_s:
        pass


async def play(number: int, folder: pathlib.Path) -> Run:
    """Run the demo once."""
    start = time.monotonic()
    output = folder / f"run-{number:02}.txt"
    with output.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "plumarch.demo", stdout=file, stderr=asyncio.subprocess.STDOUT
        )
        try:
            code = await asyncio.wait_for(process.wait(), RUN_LIMIT_S)
        except TimeoutError:
            print(f"run {number}: killed after {RUN_LIMIT_S:.0f} s", flush=True)
            process.kill()
            code = -1
    return Run(number, code, time.monotonic() - start)


async def play_all(runs: int, at_once: int, folder: pathlib.Path) -> list[Run]:
    """Run the demo several times, up to at_once concurrently."""
    limit = asyncio.Semaphore(at_once)

    async def one(number: int) -> Run:
        async with limit:
            run = await play(number, folder)
            print(f"run {number}: exit {run.code}, {run.took_s:.0f} s", flush=True)
            return run

    return list(await asyncio.gather(*(one(number) for number in range(runs))))


def main(folder: str, runs: int = 20, busy: int = 0, at_once: int = 1) -> None:
    """Run the demo and print how many runs passed; exit with 1 unless all did.

    Args:
      busy: processes that each keep a core busy meanwhile; -1 for one per core.
    """
    output_folder = pathlib.Path(folder)
    output_folder.mkdir(parents=True, exist_ok=True)
    count = busy if busy >= 0 else os.cpu_count() or 1
    until_s = time.monotonic() + runs * RUN_LIMIT_S
    spinners = [multiprocessing.Process(target=spin, args=(until_s,)) for _ in range(count)]
    for spinner in spinners:
        spinner.start()
    try:
        results = asyncio.run(play_all(runs, at_once, output_folder))
    finally:
        for spinner in spinners:
            spinner.terminate()
    passed = [run for run in results if run.code == 0]
    times = sorted(run.took_s for run in results)
    row = {
        "runs": runs,
        "busy processes": count,
        "at once": at_once,
        "whole": len(passed),
        "median s": round(times[len(times) // 2], 1),
        "longest s": round(times[-1], 1),
    }
    print(tabulate.tabulate([row], headers="keys"))
    sys.exit(0 if len(passed) == runs else 1)


if __name__ == "__main__":
    fire.Fire(main)
