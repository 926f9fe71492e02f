"""Runs a round and compares its two trees: python -m bench.rounds SETTINGS PROGRAM FOLDER.

An interrupted round resumes with its missing runs.
"""

import asyncio
import pathlib
import sys

import fire

from bench.rounds import play, plot, settings, tables


def main(settings_file: str, program: str, folder: str, picture: bool = True) -> None:
    """Run the missing runs of a round, then write its reports, tables and chart.

    Args:
      settings_file: TOML file, see bench/rounds/settings.py.
      program: executable of the users' bench.
      folder: output directory.
      picture: draw waterfall charts of the first pair; needs the extra `bench`.
    """
    try:
        round_settings = settings.read(pathlib.Path(settings_file))
    except settings.SettingsError as fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
    output_folder = pathlib.Path(folder)
    output_folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(play.play_all(round_settings, program, output_folder))
    pairs = tables.pairs(round_settings, output_folder)
    if not pairs:
        print(
            "No pair has both reports. Remedy: read the .txt files in the folder.", file=sys.stderr
        )
        sys.exit(1)
    table = tables.text(tables.rows(pairs))
    lines = tables.violations(pairs)
    (output_folder / "table.txt").write_text(
        "\n".join([round_settings.why, "", table, "", *lines]) + "\n"
    )
    (output_folder / "figures.csv").write_text(tables.as_csv(pairs))
    print(table)
    print("\n".join(lines) or "no rule violated")
    if picture:
        first = pairs[0]
        reports = {f"{first.name} before": first.before, f"{first.name} after": first.after}
        plot.waterfall(reports, output_folder / "waterfall.svg")


if __name__ == "__main__":
    fire.Fire(main)
