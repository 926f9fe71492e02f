"""python -m bench.rounds SETTINGS PROGRAM FOLDER: play a round and say what the change was worth.

SETTINGS is a TOML file (bench/rounds/settings.py), PROGRAM the users' bench, FOLDER a place for
reports, the table, the CSV and the picture. Cut off, it goes on where it was.
"""

import asyncio
import pathlib
import sys

import fire

from bench.rounds import play, plot, settings, tables


def main(settings_file: str, program: str, folder: str, picture: bool = True) -> None:
    """Play what is missing of a round, then write its tables.

    Args:
      settings_file: the round.
      program: the users' bench.
      folder: where everything goes.
      picture: draw the first pair's waterfalls; needs the extra `bench`.
    """
    try:
        given = settings.read(pathlib.Path(settings_file))
    except settings.SettingsFault as fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
    place = pathlib.Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    asyncio.run(play.play_all(given, program, place))
    found = tables.pairs(given, place)
    if not found:
        print("No pair is whole. Remedy: read the .txt files in the folder.", file=sys.stderr)
        sys.exit(1)
    table = tables.text(tables.rows(found))
    lines = tables.broken(found)
    (place / "table.txt").write_text("\n".join([given.why, "", table, "", *lines]) + "\n")
    (place / "figures.csv").write_text(tables.as_csv(found))
    print(table)
    print("\n".join(lines) or "no rule broken")
    if picture:
        first = found[0]
        reports = {f"{first.name} before": first.before, f"{first.name} after": first.after}
        plot.waterfall(reports, place / "waterfall.svg")


if __name__ == "__main__":
    fire.Fire(main)
