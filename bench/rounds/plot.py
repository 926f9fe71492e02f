"""Waterfall charts of a day's score. Needs the extra `bench`."""

import pathlib

from bench.rounds import play

MIN_LOSS = 0.002
"""Smaller losses are combined into one bar."""


def losses(report: play.Report) -> list[tuple[str, float]]:
    """Return losses from a score of 1: parts of the credit, then prices, largest first."""
    parts = [(part.name, part.weight * (1 - part.credit)) for part in report.parts]
    prices = sorted(((p.name, p.worth) for p in report.prices), key=lambda item: -item[1])
    large = [(name, loss) for name, loss in prices if loss >= MIN_LOSS]
    rest = sum(loss for _, loss in prices if loss < MIN_LOSS)
    return [*parts, *large, ("all other prices", rest)]


def waterfall(reports: dict[str, play.Report], path: pathlib.Path) -> None:
    """Write the waterfall charts of reports side by side to an SVG file."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        1, len(reports), figsize=(6 * len(reports), 4.5), sharey=True, squeeze=False
    )
    for axis, (title, report) in zip(axes[0], reports.items(), strict=True):
        level = 1.0
        names = []
        for position, (name, loss) in enumerate(losses(report)):
            axis.bar(position, -loss, bottom=level, color="#b0413e")
            level -= loss
            names.append(name)
        axis.bar(len(names), report.worth, color="#3e6bb0")
        axis.set_xticks(range(len(names) + 1), [*names, "worth"], rotation=60, ha="right")
        axis.set_title(f"{title}: {report.worth:.3f}")
        axis.set_ylim(0, 1)
    figure.tight_layout()
    figure.savefig(path)
