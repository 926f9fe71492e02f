"""An unreadable field or element does not make the rest of a message unreadable."""

import json

import msgspec
import pytest
from hypothesis import given, strategies

from plumarch.peers import gossip, message_samples, tolerant

SAMPLES = {
    name: bytes.fromhex(encoded)
    for name, encoded in json.loads(
        (message_samples.FOLDER / "b4136a9.json").read_text(encoding="utf-8")
    ).items()
}
BEAT = msgspec.msgpack.decode(SAMPLES["Heartbeat"])
SPENDING = [field.name for field in msgspec.structs.fields(gossip.Heartbeat)].index("spending") + 1
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.text(),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=6,
)


def test_an_unreadable_element_of_a_list_is_left_out():
    beat = [*BEAT]
    beat[SPENDING] = [["short"], *BEAT[SPENDING], "no list", [7, 7, 7, 7, 7, 7]]
    found = tolerant.read(msgspec.msgpack.encode(beat))
    assert found.unreadable == ("spending",)
    assert found.datagram == gossip.datagram_decoder.decode(SAMPLES["Heartbeat"])


def test_an_unreadable_optional_field_gets_its_default():
    sequence = [field.name for field in msgspec.structs.fields(gossip.Heartbeat)].index("sequence")
    beat = [*BEAT]
    beat[sequence + 1] = "seven"
    found = tolerant.read(msgspec.msgpack.encode(beat))
    assert found.unreadable == ("sequence",) and found.datagram.sequence == 0
    assert found.datagram.node == "node-1"


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", b"\x01", b"\x91\x63", b"\x92\x01\xc0"])
def test_unknown_types_and_missing_required_fields_are_rejected(data: bytes):
    with pytest.raises(msgspec.DecodeError):
        tolerant.read(data)


@given(
    name=strategies.sampled_from(["Heartbeat", "CentreSummary", "LoadNotice", "SuspectNews"]),
    place=strategies.integers(1, 25),
    value=VALUES,
)
def test_whatever_stands_in_a_field_is_read_or_refused(name: str, place: int, value: object):
    parts = msgspec.msgpack.decode(SAMPLES[name])
    parts[place % len(parts)] = value
    try:
        found = tolerant.read(msgspec.msgpack.encode(parts))
    except (msgspec.DecodeError, OverflowError):
        return
    encoded = gossip.encoder.encode(found.datagram)
    assert gossip.datagram_decoder.decode(encoded) == found.datagram
