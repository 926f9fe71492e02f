"""What one build of the product tells, the others read: VMs are replaced one after the other.

For minutes, or hours where that is halted, two builds are one fleet. A node of the build before
could not be heard: its heartbeats had five fields of a workspace's spending where seven were read,
its snapshots another shape, and so each build took the other for gone.
"""

import json

import msgspec
import pytest

from plumarch.fleet import duty_lease
from plumarch.membership import node_record
from plumarch.peers import gossip, message_samples, suspect_entries

READERS = {
    "FleetUpdate": gossip.fleet_update_decoder.decode,
    "SnapshotRequest": gossip.request_decoder.decode,
    "Snapshot": gossip.decode_snapshot,
    "Configuration": gossip.configuration_decoder.decode,
    "Endpoint": gossip.endpoint_decoder.decode,
    "DutyRecord": msgspec.json.Decoder(duty_lease.DutyRecord).decode,
    "NodeRecord": msgspec.json.Decoder(list[node_record.NodeRecord]).decode,
    "ReportedSuspect": msgspec.json.Decoder(list[suspect_entries.ReportedSuspect]).decode,
}
"""How each is read that is no datagram."""

RENAMED = {
    "FleetNews": "FleetUpdate",
    "MemberNews": "MemberUpdate",
    "RateNews": "RateUpdate",
    "SuspectNews": "SuspectUpdate",
    "ToldSuspect": "ReportedSuspect",
}
"""Message types by their names in the stored samples of earlier builds."""

BUILDS = sorted(path.stem for path in message_samples.FOLDER.glob("*.json"))


def told_by(build: str) -> dict[str, bytes]:
    text = (message_samples.FOLDER / f"{build}.json").read_text(encoding="utf-8")
    return {
        RENAMED.get(name, name): bytes.fromhex(encoded)
        for name, encoded in json.loads(text).items()
    }


def unread(told: dict[str, bytes]) -> list[str]:
    found = []
    for name, encoded in told.items():
        try:
            READERS.get(name, gossip.datagram_decoder.decode)(encoded)
        except msgspec.DecodeError as error:
            found.append(f"{name}: {error}")
    return found


def test_all_that_earlier_builds_tell_is_read():
    assert {build: unread(told_by(build)) for build in BUILDS} == {build: [] for build in BUILDS}


def test_a_snapshot_of_an_earlier_build_holds_what_it_told():
    for build in BUILDS:
        told = gossip.decode_snapshot(told_by(build)["Snapshot"])
        [configuration] = told.configuration
        assert gossip.configuration_decoder.decode(configuration).version == 7
        [endpoint] = told.endpoints
        assert gossip.endpoint_decoder.decode(endpoint).id == "id-1"
        assert (told.with_endpoints, told.registry_revision) == (True, 7)


def test_earlier_builds_take_what_an_asker_of_theirs_is_told():
    """As they read it: by the shape that they knew, where what is added at the end is left out."""
    snapshot = gossip.decode_snapshot(told_by("f8b1b9f")["Snapshot"])
    whole = gossip.FullSnapshot(
        snapshot.node, gossip.configuration_decoder.decode(snapshot.configuration[0]), (), 7
    )
    read = gossip.full_snapshot_decoder.decode(gossip.encoder.encode(whole))
    assert read == whole


DATAGRAMS = sorted(set(told_by("b4136a9")) - set(READERS))


@pytest.mark.parametrize("name", DATAGRAMS)
def test_whatever_is_added_at_the_end_or_was_not_there_yet_is_no_fault(name: str):
    earliest = told_by("f8b1b9f").get(name) or told_by("b4136a9")[name]
    parts = msgspec.msgpack.decode(bytes.fromhex(message_samples.samples()[name]))
    for count in range(len(msgspec.msgpack.decode(earliest)), len(parts) + 1):
        gossip.datagram_decoder.decode(msgspec.msgpack.encode(parts[:count]))
    gossip.datagram_decoder.decode(msgspec.msgpack.encode([*parts, "new", {"new": [1]}]))


def test_this_builds_own_samples_are_read():
    told = {name: bytes.fromhex(encoded) for name, encoded in message_samples.samples().items()}
    assert unread(told) == []
