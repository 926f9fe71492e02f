"""Tests of extracting a request's lines from logs."""

import pathlib

import pytest

from plumarch.cli import stories

LOGS = """
  1.2 front-1 {"at":1000,"node":"n1","kind":"configuration","version":4,"source":"store"}
{"at":1100,"node":"n1","kind":"sent","request":"r1","endpoint":"e1","attempt":1}
{"at":1150,"node":"n2","kind":"endpoint","endpoint":"e1","state":"gone"}
{"at":1160,"node":"n1","kind":"endpoint","endpoint":"e1","state":"draining"}
{"at":1170,"node":"n1","kind":"endpoint","endpoint":"e9","state":"gone"}
{"at":1200,"node":"n1","kind":"answered","request":"r1","status":502,"reason":"broken"}
{"at":1210,"node":"n1","kind":"sent","request":"r2","endpoint":"e1"}
not a line of the log
{"broken": 
"""


def test_a_story_has_the_requests_lines_and_state_changes_of_its_node():
    found = stories.story(stories.parse(LOGS.splitlines()), "r1")
    assert [line.kind for line in found] == ["configuration", "sent", "endpoint", "answered"]
    text = stories.render(found)
    assert "-100 ms  n1  configuration  version=4" in text
    assert "+100 ms  n1  answered  status=502 reason=broken" in text


def test_an_unknown_request_has_no_lines():
    assert stories.story(stories.parse(LOGS.splitlines()), "r9") == []


ATTEMPTS = """
{"at":1000,"node":"n1","kind":"sent","request":"r1","endpoint":"e1"}
{"at":1200,"node":"n1","kind":"broken","request":"r1","fingerprint":"00f1","endpoint":"e1"}
{"at":1300,"node":"n2","kind":"sent","request":"r2","endpoint":"e2"}
{"at":1500,"node":"n2","kind":"answered","request":"r2","fingerprint":"00f1","status":502}
{"at":1600,"node":"n2","kind":"sent","request":"r3","endpoint":"e2"}
"""


def test_a_fingerprint_selects_all_attempts_of_a_request():
    found = stories.story(stories.parse(ATTEMPTS.splitlines()), "00f1")
    assert [line.request for line in found] == ["r1", "r1", "r2", "r2"]


RESUMED = """
{"at":1000,"node":"n1","kind":"sent","request":"r1","endpoint":"e1","version":"v1","after_event":""}
{"at":1300,"node":"n2","kind":"answered","request":"r2","status":200,"resumes":"r1"}
{"at":1600,"node":"n2","kind":"answered","request":"r3","status":200,"resumes":""}
"""


def test_a_first_attempt_selects_the_lines_of_its_resumptions():
    found = stories.story(stories.parse(RESUMED.splitlines()), "r1")
    assert [line.request for line in found] == ["r1", "r2"]


REFUSED = """
{"at":1000,"node":"n1","kind":"quarantined","fingerprint":"s01","endpoints":["e1","e2","e3"]}
{"at":1100,"node":"n2","kind":"quarantined","fingerprint":"s02","endpoints":["e1","e2","e3"]}
{"at":9000,"node":"n2","kind":"refused","request":"r1","status":503,"fingerprint":"s01","segment":"a1"}
"""


def test_a_refused_request_selects_the_quarantine_of_its_prompt_segment():
    found = stories.story(stories.parse(REFUSED.splitlines()), "r1")
    assert [line.kind for line in found] == ["quarantined", "refused"]
    text = stories.render(found)
    assert "endpoints=['e1', 'e2', 'e3']" in text and "segment=a1" in text


SAMPLES = sorted((pathlib.Path(__file__).parent / "samples").glob("*.log"))
"""A repeated request in the log of each build that a mixed fleet may run."""


@pytest.mark.parametrize("path", SAMPLES, ids=lambda path: path.stem)
def test_a_repeated_request_is_found_in_the_log_of_each_build(path: pathlib.Path):
    lines = stories.parse(path.read_text(encoding="utf-8").splitlines())
    found = stories.story(lines, "q1")
    own = [line for line in found if line.request]
    assert [line.kind for line in own] == ["sent", "broken", "sent", "answered"]
    assert {line.fields["endpoint"] for line in own[:2]} == {own[1].fields["endpoint"]}
    assert own[3].fields["status"] == 200
    assert "endpoint" in {line.kind for line in found if not line.request}


def test_a_request_repeated_at_a_node_of_another_build_is_one_story():
    lines = [line for path in SAMPLES for line in path.read_text(encoding="utf-8").splitlines()]
    parsed = stories.parse(lines)
    [fingerprint, *_] = [line.fields["fingerprint"] for line in parsed if line.kind == "answered"]
    same = [
        line if line.kind not in ("broken", "answered") else with_fingerprint(line, fingerprint)
        for line in parsed
    ]
    found = stories.story(same, fingerprint)
    assert {line.node for line in found} == {f"node-{path.stem}" for path in SAMPLES}


def with_fingerprint(line: stories.Line, fingerprint: str) -> stories.Line:
    fields = {**line.fields, "fingerprint": fingerprint}
    return stories.Line(line.at_ms, line.node, line.kind, line.request, fields)
