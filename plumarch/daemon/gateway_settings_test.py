"""Tests of the gateway's settings: valid files, and problems with their section and key."""

import pathlib

import pytest

from plumarch.core import errors
from plumarch.daemon import gateway_settings

VALID = """
[node]
name = a
data_centre = z
first_start = true
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[peers]
seeds = 10.0.0.1:8, 10.0.0.2:8
[store]
address = 127.0.0.1:5
[cloud]
address = 127.0.0.1:6
duties = usage, scaling
"""


def test_valid_settings():
    found, problems = gateway_settings.read("g.ini", VALID)
    assert problems == []
    assert found.node.first_start
    assert found.peers.seeds == ("10.0.0.1:8", "10.0.0.2:8")
    assert found.cloud.duties == ("usage", "scaling")


def test_all_problems_are_reported_at_once_with_their_lines():
    wrong = VALID.replace("127.0.0.1:2", "nowhere").replace("usage, scaling", "usage, dancing")
    found, problems = gateway_settings.read("g.ini", wrong + "[bounds]\nstop_s = -1\nodd = 2\n")
    assert found is None
    locations = {(one.section, one.key) for one in problems}
    assert locations == {
        ("listen", "readiness"),
        ("cloud", "duties"),
        ("bounds", "stop_s"),
        ("bounds", "odd"),
    }
    assert all(one.line > 0 and one.remedy for one in problems)


def test_an_unreadable_file_is_reported_with_a_remedy(tmp_path: pathlib.Path):
    with pytest.raises(errors.SettingsError, match="Name a file"):
        gateway_settings.load(str(tmp_path / "missing.ini"))


def test_regions_of_data_centres():
    found, problems = gateway_settings.read(
        "g.ini", VALID + "[regions]\ndata_centres = z:south, y: south,x:north\n"
    )
    assert problems == []
    assert found.regions.data_centres == {"z": "south", "y": "south", "x": "north"}


def test_an_empty_list_of_data_centres_is_no_regions():
    found, problems = gateway_settings.read("g.ini", VALID + "[regions]\ndata_centres =\n")
    assert problems == []
    assert found.regions.data_centres == {}


@pytest.mark.parametrize("text", ["z", "z:", ":south", "z:south, z:north"])
def test_bad_regions_are_reported(text):
    _, problems = gateway_settings.read("g.ini", VALID + f"[regions]\ndata_centres = {text}\n")
    assert [(one.section, one.key) for one in problems] == [("regions", "data_centres")]
