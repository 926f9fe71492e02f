"""A request's story out of logs."""

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


def test_a_story_holds_the_requests_lines_and_what_its_node_learned():
    found = stories.story(stories.parse(LOGS.splitlines()), "r1")
    assert [line.kind for line in found] == ["configuration", "sent", "endpoint", "answered"]
    text = stories.render(found)
    assert "-100 ms  n1  configuration  version=4" in text
    assert "+100 ms  n1  answered  status=502 reason=broken" in text


def test_an_unknown_request_has_no_story():
    assert stories.story(stories.parse(LOGS.splitlines()), "r9") == []


TRIES = """
{"at":1000,"node":"n1","kind":"sent","request":"r1","endpoint":"e1"}
{"at":1200,"node":"n1","kind":"broken","request":"r1","fingerprint":"00f1","endpoint":"e1"}
{"at":1300,"node":"n2","kind":"sent","request":"r2","endpoint":"e2"}
{"at":1500,"node":"n2","kind":"answered","request":"r2","fingerprint":"00f1","status":502}
{"at":1600,"node":"n2","kind":"sent","request":"r3","endpoint":"e2"}
"""


def test_a_fingerprint_tells_the_story_of_all_tries_of_a_request():
    found = stories.story(stories.parse(TRIES.splitlines()), "00f1")
    assert [line.request for line in found] == ["r1", "r1", "r2", "r2"]
