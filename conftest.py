"""Tests that are known to fail: listed in KNOWN-RED.txt, run, printed, and expected to fail.

A line is `TEST: CAUSE; COMMAND AND SEED; WHAT WAS SEEN; ISSUE`. A listed test that passes fails the
run, so that its line is taken out once its fault is mended.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
MOST = 3


def known_red() -> dict[str, str]:
    """Return the listed lines by test."""
    if not KNOWN_RED.is_file():
        return {}
    lines = [line for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    return {line.partition(": ")[0]: line for line in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect listed tests to fail."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=listed[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list."""
    for line in known_red().values():
        terminalreporter.write_line(f"KNOWN-RED {line}")


def pytest_configure() -> None:
    """Refuse a list that is too long."""
    if len(known_red()) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt lists more than {MOST} tests. Mend some first.")
