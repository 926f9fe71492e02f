"""Documentation matches the code, the examples and the days in deploy/."""

import pathlib
import re
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def test_example_of_the_seams_page_runs_and_matches_the_page() -> None:
    example = ROOT / "examples" / "drive_one_node.py"
    assert example.read_text() in (ROOT / "docs" / "SEAMS.md").read_text()
    done = subprocess.run(
        [sys.executable, str(example)],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT)},
    )
    lines = done.stdout.splitlines()
    assert "HandOver" in lines
    assert lines[-1] == "done all is well"


def test_link_targets_exist() -> None:
    for page in [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name} links to {target}"


def test_operations_page_lists_every_metric() -> None:
    from plumarch.daemon import metrics

    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    missing = [n for n in (*metrics.COUNTERS, *metrics.HISTOGRAMS) if f"{n}`" not in page]
    assert missing == []


def test_example_configurations_validate() -> None:
    from plumarch.config import files

    for name in ("okefenokee", "leasquell"):
        documents = files.read([str(ROOT / "examples" / name)])
        assert files.validate(documents) == []
        assert len(documents.texts) == 6


def test_custom_days_name_the_failure_that_they_test():
    days = sorted((ROOT / "deploy" / "days").glob("*.toml"))
    assert days
    for path in days:
        assert path.read_text().startswith("# Looks for: "), path.name
        loaded = tomllib.loads(path.read_text())
        # The bench takes a day as a table of its own as well.
        (day,) = loaded.get("day", [loaded])
        assert day["name"] == path.stem
        assert len(day["faults"]) >= 2
