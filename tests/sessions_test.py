"""Replays the sessions in tests/sessions and compares their transcripts with the recorded ones.

To record new transcripts, run PLUMARCH_RECORD=1 make test and review the difference.
"""

import hashlib
import os
import pathlib
import subprocess
import sys

import pytest

from plumarch.proof import sessions

FOLDER = pathlib.Path(__file__).parent / "sessions"
SCRIPTS = sorted(FOLDER.glob("*.txt"))


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda path: path.stem)
def test_session_matches_its_recorded_transcript(script: pathlib.Path) -> None:
    session = sessions.play(script.read_text())
    assert session.failures == []
    golden = script.with_suffix(".golden")
    transcript = "\n".join(session.transcript()) + "\n"
    if os.environ.get("PLUMARCH_RECORD"):
        golden.write_text(transcript)
    assert transcript == golden.read_text()


def test_unknown_steps_are_rejected() -> None:
    with pytest.raises(ValueError, match="unknown action"):
        sessions.play("nodes a1=a\nat 0 dance a1")


def test_failed_expectations_are_reported() -> None:
    session = sessions.play("nodes a1=a\nat 0 call a1 lookup\nrun 500\nexpect caller0 unknown")
    assert session.failures == ["expect caller0 unknown: is ['done'] ['']"]


@pytest.mark.parametrize("hash_seed", ["1", "2"])
def test_decisions_do_not_depend_on_the_hash_seed(hash_seed: str) -> None:
    script = FOLDER / "first-request.txt"
    program = (
        "import hashlib, pathlib, sys; from plumarch.proof import sessions;"
        "lines = sessions.play(pathlib.Path(sys.argv[1]).read_text()).transcript();"
        "print(hashlib.sha256('\\n'.join(lines).encode()).hexdigest())"
    )
    done = subprocess.run(
        [sys.executable, "-c", program, str(script)],
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        check=True,
    )
    golden = script.with_suffix(".golden").read_text().removesuffix("\n")
    assert done.stdout.strip() == hashlib.sha256(golden.encode()).hexdigest()
