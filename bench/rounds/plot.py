"""A day's worth as a waterfall: from 1 down to the result. Needs the extra `bench`."""

import pathlib

from bench.rounds import play

LEAST = 0.002
"""Losses below this are drawn as one bar."""


def losses(report: play.Report) -> list[tuple[str, float]]:
    """Return what was lost of 1, the credit parts first, then the prices, largest first."""
    parts = [(part.name, part.weight * (1 - part.credit)) for part in report.parts]
    prices = sorted(((p.name, p.worth) for p in report.prices), key=lambda item: -item[1])
    large = [(name, lost) for name, lost in prices if lost >= LEAST]
    rest = sum(lost for _, lost in prices if lost < LEAST)
    return [*parts, *large, ("all other prices", rest)]


def waterfall(reports: dict[str, play.Report], path: pathlib.Path) -> None:
    """Draw one waterfall for each report, beside each other, as an SVG file."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        1, len(reports), figsize=(6 * len(reports), 4.5), sharey=True, squeeze=False
    )
    for axis, (title, report) in zip(axes[0], reports.items(), strict=True):
        level = 1.0
        names = []
        for place, (name, lost) in enumerate(losses(report)):
            axis.bar(place, -lost, bottom=level, color="#b0413e")
            level -= lost
            names.append(name)
        axis.bar(len(names), report.worth, color="#3e6bb0")
        axis.set_xticks(range(len(names) + 1), [*names, "worth"], rotation=60, ha="right")
        axis.set_title(f"{title}: {report.worth:.3f}")
        axis.set_ylim(0, 1)
    figure.tight_layout()
    figure.savefig(path)
