"""Runs the missing runs of a round with bounded concurrency."""

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
    """Tree that a run uses."""

    BEFORE = "before"
    AFTER = "after"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run of one day of a site on one tree."""

    site: str
    day: str
    seed: int
    side: Side

    def pair(self) -> str:
        """Return the name of the pair."""
        return f"{pathlib.Path(self.site).stem}/{pathlib.Path(self.day).stem}/{self.seed}"

    def file(self, folder: pathlib.Path) -> pathlib.Path:
        """Return the path of its report."""
        return folder / f"{self.pair().replace('/', '_')}_{self.side}.json"


class Price(msgspec.Struct, array_like=True, frozen=True):
    """Price line of a report."""

    name: str
    amount: float
    worth: float


class Part(msgspec.Struct, array_like=True, frozen=True):
    """Weighted part of the credit."""

    name: str
    weight: float
    credit: float


class Report(msgspec.Struct, frozen=True):
    """Fields of a run's report that this tool uses.

    Attributes:
      worth: score of the day, G in the report.
      breaks: violated rules, by name.
      snapshot: id of the journal entry, added by this tool.
    """

    worth: float = msgspec.field(name="G")
    parts: tuple[Part, ...] = ()
    prices: tuple[Price, ...] = ()
    breaks: dict[str, Any] = {}
    fault: Any = None
    snapshot: str = ""


def runs_of(round_settings: settings.Settings) -> list[Run]:
    """Return all runs of a round, those of a pair adjacent."""
    return [
        Run(play.site, play.day, seed, side)
        for play in round_settings.play
        for seed in play.seeds
        for side in Side
    ]


def load(run: Run, folder: pathlib.Path) -> Report | None:
    """Return the stored report of a run, or None."""
    path = run.file(folder)
    if not path.exists():
        return None
    return msgspec.json.decode(path.read_bytes(), type=Report)


def command(
    run: Run, round_settings: settings.Settings, program: str, report: pathlib.Path
) -> list[str]:
    """Return the command line of a run."""
    why = f"{round_settings.extra}, {run.side} of a pair: {round_settings.why}"
    words = [program, "run", run.site, run.day, "--report", str(report), "--why", why]
    if run.seed:
        words += ["--seed", str(run.seed)]
    if round_settings.no_cpu:
        words.append("--no-cpu")
    return words


async def play(
    run: Run, round_settings: settings.Settings, program: str, folder: pathlib.Path
) -> Report | None:
    """Execute one run and store its report and, beside it, its output.

    Returns:
      The report, or None if the run wrote none.
    """
    tree = round_settings.before if run.side is Side.BEFORE else round_settings.after
    raw = run.file(folder).with_suffix(".raw").absolute()
    process = await asyncio.create_subprocess_exec(
        *command(run, round_settings, program, raw),
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


async def play_all(round_settings: settings.Settings, program: str, folder: pathlib.Path) -> None:
    """Execute the missing runs of a round and print a line for each."""
    missing = [run for run in runs_of(round_settings) if load(run, folder) is None]
    total = len(runs_of(round_settings))
    print(f"{total - len(missing)} of {total} runs are complete already", flush=True)
    limit = asyncio.Semaphore(round_settings.at_once)
    done = 0

    async def one(run: Run) -> None:
        nonlocal done
        async with limit:
            report = await play(run, round_settings, program, folder)
        done += 1
        outcome = "no report" if report is None else f"worth {report.worth:.3f} {report.snapshot}"
        print(f"{done}/{len(missing)} {run.pair()} {run.side}: {outcome}", flush=True)

    await asyncio.gather(*(one(run) for run in missing))
