"""Messages of earlier builds are readable: builds run side by side while VMs are replaced.

Guards against builds that can't decode each other's messages and count each other as unreachable.
"""

import json

import msgspec
import pytest

from plumarch.fleet import duty_lease
from plumarch.membership import node_record
from plumarch.peers import gossip, message_samples, suspect_entries, tunnels

READERS = {
    "FleetUpdate": gossip.fleet_update_decoder.decode,
    "SnapshotRequest": gossip.request_decoder.decode,
    "Snapshot": gossip.decode_snapshot,
    "TunnelRequest": tunnels.request_decoder.decode,
    "TunnelAnswer": tunnels.answer_decoder.decode,
    "Configuration": gossip.configuration_decoder.decode,
    "Endpoint": gossip.endpoint_decoder.decode,
    "DutyRecord": msgspec.json.Decoder(duty_lease.DutyRecord).decode,
    "NodeRecord": msgspec.json.Decoder(list[node_record.NodeRecord]).decode,
    "ReportedSuspect": msgspec.json.Decoder(list[suspect_entries.ReportedSuspect]).decode,
}
"""Decoders of samples that are no datagrams."""

RENAMED = {
    "FleetNews": "FleetUpdate",
    "MemberNews": "MemberUpdate",
    "RateNews": "RateUpdate",
    "SuspectNews": "SuspectUpdate",
    "ToldSuspect": "ReportedSuspect",
}
"""Message types by their names in the stored samples of earlier builds."""

BUILDS = sorted(path.stem for path in message_samples.FOLDER.glob("*.json"))


def samples_of(build: str) -> dict[str, bytes]:
    text = (message_samples.FOLDER / f"{build}.json").read_text(encoding="utf-8")
    return {
        RENAMED.get(name, name): bytes.fromhex(encoded)
        for name, encoded in json.loads(text).items()
    }


def unreadable(samples: dict[str, bytes]) -> list[str]:
    found = []
    for name, encoded in samples.items():
        try:
            READERS.get(name, gossip.datagram_decoder.decode)(encoded)
        except msgspec.DecodeError as error:
            found.append(f"{name}: {error}")
    return found


def test_all_samples_of_earlier_builds_are_readable():
    assert {build: unreadable(samples_of(build)) for build in BUILDS} == {
        build: [] for build in BUILDS
    }


def test_a_snapshot_of_an_earlier_build_is_decoded_completely():
    for build in BUILDS:
        snapshot = gossip.decode_snapshot(samples_of(build)["Snapshot"])
        [configuration] = snapshot.configuration
        assert gossip.configuration_decoder.decode(configuration).version == 7
        [endpoint] = snapshot.endpoints
        assert gossip.endpoint_decoder.decode(endpoint).id == "id-1"
        assert (snapshot.with_endpoints, snapshot.registry_revision) == (True, 7)


def test_a_full_snapshot_for_earlier_builds_is_readable():
    """Earlier builds decode it by the fields that they know and ignore added ones."""
    snapshot = gossip.decode_snapshot(samples_of("f8b1b9f")["Snapshot"])
    full = gossip.FullSnapshot(
        snapshot.node, gossip.configuration_decoder.decode(snapshot.configuration[0]), (), 7
    )
    read = gossip.full_snapshot_decoder.decode(gossip.encoder.encode(full))
    assert read == full


DATAGRAMS = sorted(set(samples_of("b4136a9")) - set(READERS))


@pytest.mark.parametrize("name", DATAGRAMS)
def test_added_and_missing_fields_at_the_end_are_accepted(name: str):
    earliest = samples_of("f8b1b9f").get(name) or samples_of("b4136a9")[name]
    parts = msgspec.msgpack.decode(bytes.fromhex(message_samples.samples()[name]))
    for count in range(len(msgspec.msgpack.decode(earliest)), len(parts) + 1):
        gossip.datagram_decoder.decode(msgspec.msgpack.encode(parts[:count]))
    gossip.datagram_decoder.decode(msgspec.msgpack.encode([*parts, "new", {"new": [1]}]))


def test_this_builds_own_samples_are_readable():
    samples = {name: bytes.fromhex(encoded) for name, encoded in message_samples.samples().items()}
    assert unreadable(samples) == []
