"""Table of the load generator's results per workspace and class."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from plumarch.core import data
from plumarch.load import callers


@dataclasses.dataclass(slots=True)
class Line:
    """The results of one workspace and class."""

    done: int = 0
    not_run: int = 0
    unknown: int = 0
    open: int = 0
    reconnects: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank, or -1 without values; share is from 0 to 1."""
    if not values:
        return -1.0
    ranked = sorted(values)
    rank = max(0, min(len(ranked) - 1, round(share * len(ranked) + 0.5) - 1))
    return ranked[rank]


def rows(
    outcomes: Iterable[callers.Outcome], extra: dict[str, dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the table's lines.

    Args:
      outcomes: the result of each request.
      extra: further columns by workspace, in the workspace's first line.
    """
    lines: dict[tuple[str, data.RequestClass], Line] = {}
    for outcome in outcomes:
        name = (outcome.target.workspace, outcome.request_class)
        _add(lines.setdefault(name, Line()), outcome)
    table = []
    shown: set[str] = set()
    for (workspace, request_class), line in sorted(lines.items()):
        more = extra.get(workspace, {}) if workspace not in shown else {}
        shown.add(workspace)
        table.append(_row(workspace, request_class, line) | more)
    return table


def _add(line: Line, outcome: callers.Outcome) -> None:
    ends = outcome.view.ends
    line.done += data.Outcome.DONE in ends
    line.not_run += data.Outcome.NOT_RUN in ends
    line.unknown += data.Outcome.UNKNOWN in ends
    line.open += not ends
    line.reconnects += outcome.reconnects
    wait = outcome.first_token_ms if outcome.first_token_ms >= 0 else outcome.total_ms
    if data.Outcome.DONE in ends:
        line.waits_ms.append(wait)


def _row(workspace: str, request_class: data.RequestClass, line: Line) -> dict[str, Any]:
    return {
        "workspace": workspace,
        "class": str(request_class),
        "done": line.done,
        "not run": line.not_run,
        "unknown": line.unknown,
        "open": line.open,
        "reconnects": line.reconnects,
        "first p50 ms": round(percentile(line.waits_ms, 0.5)),
        "first p95 ms": round(percentile(line.waits_ms, 0.95)),
    }
