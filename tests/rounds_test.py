"""Paired rounds: settings, resumption of runs, and tables."""

import asyncio
import os
import pathlib
import stat

import msgspec
import pytest

from bench.rounds import play, plot, settings, tables

REPORT = {
    "G": 0.5,
    "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.28, 0.5]],
    "prices": [["seconds of servers ordered", 100.0, 0.1], ["machine-seconds", 5.0, 0.02]],
    "breaks": {},
    "fault": None,
}

PROGRAM = """#!/bin/sh
# Fake of the users' bench: writes a report, prints its journal entry and counts its runs.
echo x >> "{counter}"
cp "{report}" "$5"
echo "snapshot abc123"
"""


def checkout(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Create a folder that passes for a checkout."""
    tree = folder / name
    (tree / "deploy").mkdir(parents=True)
    (tree / "deploy" / "system.toml").write_text("")
    return tree


def round_of(folder: pathlib.Path, more: str = "") -> pathlib.Path:
    """Write the settings of a round with two pairs."""
    before, after = checkout(folder, "old"), checkout(folder, "new")
    path = folder / "round.toml"
    path.write_text(
        f'why = "a test"\nbefore = "{before}"\nafter = "{after}"\nat_once = 1\n{more}'
        '[[play]]\nsite = "sites/one.toml"\nday = "quiet-1"\nseeds = [1, 2]\n'
    )
    return path


def write_fake_program(folder: pathlib.Path) -> pathlib.Path:
    """Write an executable that replaces the users' bench."""
    report = folder / "report.json"
    report.write_bytes(msgspec.json.encode(REPORT))
    program = folder / "program"
    program.write_text(PROGRAM.format(counter=folder / "count", report=report))
    program.chmod(program.stat().st_mode | stat.S_IEXEC)
    return program


def test_invalid_settings_are_rejected(tmp_path: pathlib.Path) -> None:
    assert settings.read(round_of(tmp_path)).play[0].seeds == (1, 2)
    for text, replacement in (
        ("at_once = 1", "at_onec = 1"),
        ("at_once = 1", f"at_once = {os.cpu_count()}0"),
        ("/old", "/nowhere"),
    ):
        path = tmp_path / "wrong.toml"
        path.write_text((tmp_path / "round.toml").read_text().replace(text, replacement))
        with pytest.raises(settings.SettingsError, match=r"wrong\.toml"):
            settings.read(path)
    with pytest.raises(settings.SettingsError, match="Remedy"):
        settings.read(tmp_path / "missing.toml")


def test_interrupted_round_resumes_with_missing_runs(tmp_path: pathlib.Path) -> None:
    given = settings.read(round_of(tmp_path))
    program = write_fake_program(tmp_path)
    folder = tmp_path / "reports"
    folder.mkdir()
    asyncio.run(play.play_all(given, str(program), folder))
    assert (tmp_path / "count").read_text().count("x") == 4
    play.runs_of(given)[0].file(folder).unlink()
    asyncio.run(play.play_all(given, str(program), folder))
    assert (tmp_path / "count").read_text().count("x") == 5
    found = tables.pairs(given, folder)
    assert [pair.name for pair in found] == ["one/quiet-1/1", "one/quiet-1/2"]
    assert found[0].before.snapshot == "abc123"


def report(worth: float, windows: float, broken: bool = False) -> play.Report:
    """Return a report with the given score and window credit."""
    fields = {**REPORT, "G": worth, "breaks": {"QUOTA": 1} if broken else {}}
    fields["parts"] = [["whole day", 0.4, 0.9], ["worst windows", 0.28, windows]]
    return msgspec.convert(fields, play.Report)


def test_differences_and_standard_deviation_per_site() -> None:
    found = [
        tables.Pair("one/quiet-1/1", report(0.5, 0.5), report(0.6, 0.7)),
        tables.Pair("one/quiet-1/2", report(0.4, 0.5), report(0.6, 0.5)),
    ]
    rows = {row.figure: row for row in tables.rows(found) if row.site == "one"}
    assert rows["worth"].difference == pytest.approx(0.15)
    assert rows["worth"].spread == pytest.approx(0.0707, abs=1e-4)
    assert rows["worst windows"].difference == pytest.approx(0.1)
    assert rows["seconds of servers ordered"].before == pytest.approx(-0.1)
    assert "one/quiet-1/2,after,,worth,0.6" in tables.as_csv(found).replace("\r", "")


def test_violated_rules_are_listed() -> None:
    pair = tables.Pair("one/quiet-1/1", report(0.5, 0.5), report(0.0, 0.5, broken=True))
    assert len(tables.violations([pair])) == 1
    assert "QUOTA" in tables.violations([pair])[0]


def test_losses_and_score_add_up_to_one() -> None:
    complete = play.Report(
        worth=0.5,
        parts=(play.Part("whole day", 1.0, 0.8),),
        prices=(play.Price("seconds", 1.0, 0.3), play.Price("little", 1.0, 0.0001)),
    )
    lost = plot.losses(complete)
    assert [name for name, _ in lost] == ["whole day", "seconds", "all other prices"]
    assert 1.0 - sum(amount for _, amount in lost) == pytest.approx(0.5, abs=1e-3)
