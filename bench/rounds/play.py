"""Plays the runs of a round, a bounded number at a time; what was played is not played again."""

import asyncio
import dataclasses
import enum
import pathlib
import re
from typing import Any

import msgspec

from bench.rounds import settings

SNAPSHOT = re.compile(r"^snapshot (\w+)", re.MULTILINE)


class Side(enum.StrEnum):
    """Which of the two trees."""

    BEFORE = "before"
    AFTER = "after"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run to be played."""

    site: str
    day: str
    seed: int
    side: Side

    def pair(self) -> str:
        """Return the name that both runs of a pair share."""
        return f"{pathlib.Path(self.site).stem}/{pathlib.Path(self.day).stem}/{self.seed}"

    def file(self, folder: pathlib.Path) -> pathlib.Path:
        """Return where its report is kept."""
        return folder / f"{self.pair().replace('/', '_')}_{self.side}.json"


class Price(msgspec.Struct, array_like=True, frozen=True):
    """One price line of a report."""

    name: str
    amount: float
    worth: float


class Part(msgspec.Struct, array_like=True, frozen=True):
    """One part of the credit, with its weight."""

    name: str
    weight: float
    credit: float


class Report(msgspec.Struct, frozen=True):
    """What this tool reads of a run's report.

    Attributes:
      worth: what the day is worth, G in the report.
      breaks: broken rules, by name.
      snapshot: the journal entry's id; added by this tool.
    """

    worth: float = msgspec.field(name="G")
    parts: tuple[Part, ...] = ()
    prices: tuple[Price, ...] = ()
    breaks: dict[str, Any] = {}
    fault: Any = None
    snapshot: str = ""


def runs_of(given: settings.Settings) -> list[Run]:
    """Return all runs of a round, the two of a pair beside each other."""
    return [
        Run(play.site, play.day, seed, side)
        for play in given.play
        for seed in play.seeds
        for side in Side
    ]


def load(run: Run, folder: pathlib.Path) -> Report | None:
    """Return the report of a run that was played already."""
    path = run.file(folder)
    if not path.exists():
        return None
    return msgspec.json.decode(path.read_bytes(), type=Report)


def command(run: Run, given: settings.Settings, program: str, report: pathlib.Path) -> list[str]:
    """Return the words that play a run."""
    why = f"{given.extra}, {run.side} of a pair: {given.why}"
    words = [program, "run", run.site, run.day, "--report", str(report), "--why", why]
    if run.seed:
        words += ["--seed", str(run.seed)]
    if given.no_cpu:
        words.append("--no-cpu")
    return words


async def play(
    run: Run, given: settings.Settings, program: str, folder: pathlib.Path
) -> Report | None:
    """Play one run and keep its report.

    Returns:
      The report, or None if the run gave none; its output is kept beside.
    """
    tree = given.before if run.side is Side.BEFORE else given.after
    raw = run.file(folder).with_suffix(".raw").absolute()
    process = await asyncio.create_subprocess_exec(
        *command(run, given, program, raw),
        cwd=tree,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    text = output.decode(errors="replace")
    raw.with_suffix(".txt").write_text(text)
    if not raw.exists():
        return None
    fields = msgspec.json.decode(raw.read_bytes())
    found = SNAPSHOT.search(text)
    fields["snapshot"] = found.group(1) if found else ""
    run.file(folder).write_bytes(msgspec.json.encode(fields))
    raw.unlink()
    return load(run, folder)


async def play_all(given: settings.Settings, program: str, folder: pathlib.Path) -> None:
    """Play what is missing of a round, with a line for each run."""
    missing = [run for run in runs_of(given) if load(run, folder) is None]
    total = len(runs_of(given))
    print(f"{total - len(missing)} of {total} runs are there already", flush=True)
    room = asyncio.Semaphore(given.at_once)
    done = 0

    async def one(run: Run) -> None:
        nonlocal done
        async with room:
            report = await play(run, given, program, folder)
        done += 1
        told = "no report" if report is None else f"worth {report.worth:.3f} {report.snapshot}"
        print(f"{done}/{len(missing)} {run.pair()} {run.side}: {told}", flush=True)

    await asyncio.gather(*(one(run) for run in missing))
