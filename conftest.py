"""Marks the tests listed in KNOWN-RED.txt as strict expected failures and prints the list.

A line is `TEST: CAUSE; COMMAND AND SEED; WHAT WAS SEEN; ISSUE`.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 4


def known_red() -> dict[str, str]:
    """Return the listed lines by test id."""
    if not KNOWN_RED.is_file():
        return {}
    lines = [line for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    return {line.partition(": ")[0]: line for line in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures; one that passes fails the run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=listed[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list after the run."""
    for line in known_red().values():
        terminalreporter.write_line(f"KNOWN-RED {line}")


def pytest_configure() -> None:
    """Stop the run if too many tests are listed."""
    if len(known_red()) > MAX_KNOWN_RED:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists more than {MAX_KNOWN_RED} tests. Fix some first."
        )
