"""What one build of the product tells, the others read: VMs are replaced one after the other.

For minutes, or hours where that is halted, two builds are one fleet. A node of the build before
could not be heard: its heartbeats had five fields of a workspace's spending where seven were read,
its snapshots another shape, and so each build took the other for gone.
"""

import json

import msgspec

from plumarch.fleet import duty_lease
from plumarch.membership import node_record
from plumarch.peers import gossip, message_samples, suspect_entries

READERS = {
    "FleetNews": gossip.news_decoder.decode,
    "SnapshotRequest": gossip.request_decoder.decode,
    "Snapshot": gossip.decode_snapshot,
    "Configuration": gossip.configuration_decoder.decode,
    "Endpoint": gossip.endpoint_decoder.decode,
    "DutyRecord": msgspec.json.Decoder(duty_lease.DutyRecord).decode,
    "NodeRecord": msgspec.json.Decoder(list[node_record.NodeRecord]).decode,
    "ToldSuspect": msgspec.json.Decoder(list[suspect_entries.ToldSuspect]).decode,
}
"""How each is read that is no datagram."""

BUILDS = sorted(path.stem for path in message_samples.FOLDER.glob("*.json"))


def told_by(build: str) -> dict[str, bytes]:
    text = (message_samples.FOLDER / f"{build}.json").read_text(encoding="utf-8")
    return {name: bytes.fromhex(encoded) for name, encoded in json.loads(text).items()}


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
