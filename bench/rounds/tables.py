"""Tables of a round's metrics before and after."""

import csv
import dataclasses
import io
import pathlib
import statistics

import tabulate

from bench.rounds import play, settings

WORTH = "worth"


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """Reports of both runs of a pair."""

    name: str
    before: play.Report
    after: play.Report


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Mean of one metric over the pairs of a site or day.

    Attributes:
      spread: standard deviation of the differences, 0 for a single pair.
    """

    site: str
    figure: str
    before: float
    after: float
    difference: float
    spread: float
    pairs: int


def pairs(round_settings: settings.Settings, folder: pathlib.Path) -> list[Pair]:
    """Return the pairs with reports of both runs."""
    found = []
    for run in play.runs_of(round_settings):
        if run.side is play.Side.AFTER:
            continue
        before = play.load(run, folder)
        after = play.load(dataclasses.replace(run, side=play.Side.AFTER), folder)
        if before is not None and after is not None:
            found.append(Pair(run.pair(), before, after))
    return found


def figures(report: play.Report) -> dict[str, float]:
    """Return the metrics of a report by name; prices are negative."""
    found = {WORTH: report.worth}
    found.update({part.name: part.credit for part in report.parts})
    found.update({price.name: -price.worth for price in report.prices if price.worth})
    return found


def rows(found: list[Pair]) -> list[Row]:
    """Return the rows of each site and of each of its days."""
    groups: dict[str, list[Pair]] = {}
    for pair in found:
        site, day, _ = pair.name.split("/")
        groups.setdefault(site, []).append(pair)
        groups.setdefault(f"{site}/{day}", []).append(pair)
    return [row for name, group in groups.items() for row in _rows_of(name, group)]


def _rows_of(name: str, group: list[Pair]) -> list[Row]:
    sides = [(figures(pair.before), figures(pair.after)) for pair in group]
    names = {figure: None for before, after in sides for figure in (*before, *after)}
    made = []
    for figure in names:
        before = [side[0].get(figure, 0.0) for side in sides]
        after = [side[1].get(figure, 0.0) for side in sides]
        differences = [b - a for a, b in zip(before, after, strict=True)]
        spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
        made.append(
            Row(
                name,
                figure,
                statistics.mean(before),
                statistics.mean(after),
                statistics.mean(differences),
                spread,
                len(group),
            )
        )
    return made


def text(found: list[Row], least: float = 0.0005) -> str:
    """Format the rows as a table, without those whose values are all below least."""
    shown = [row for row in found if max(abs(row.before), abs(row.after)) >= least]
    return tabulate.tabulate(
        [dataclasses.astuple(row) for row in shown],
        headers=[field.name for field in dataclasses.fields(Row)],
        floatfmt=".4f",
    )


def violations(found: list[Pair]) -> list[str]:
    """Return a line for each run with a violated rule or a fault."""
    lines = []
    for pair in found:
        for side, report in ((play.Side.BEFORE, pair.before), (play.Side.AFTER, pair.after)):
            if report.breaks or report.fault:
                rules = ", ".join(report.breaks)
                lines.append(f"{pair.name} {side} {report.snapshot}: {rules} {report.fault or ''}")
    return lines


def as_csv(found: list[Pair]) -> str:
    """Return the metrics of each run as CSV, with the id of the journal entry."""
    out = io.StringIO()
    writer = csv.writer(out)
    writer.writerow(["pair", "side", "journal", "figure", "value"])
    for pair in found:
        for side, report in ((play.Side.BEFORE, pair.before), (play.Side.AFTER, pair.after)):
            for name, value in figures(report).items():
                writer.writerow([pair.name, side.value, report.snapshot, name, value])
    return out.getvalue()
