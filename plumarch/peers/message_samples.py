"""Encoded samples of a build's messages and stored records, for later builds to read.

    python -m plumarch.peers.message_samples NAME

writes those of the checked-out build to samples/NAME.json, once for each build that went into
service. With PYTHONPATH set to an earlier checkout, this file run by its path samples that one.
"""

import collections.abc
import dataclasses
import enum
import json
import pathlib
import sys
import types
import typing

import msgspec

FOLDER = pathlib.Path(__file__).parent / "samples"

RAW_PARTS = {
    ("Snapshot", "configuration"): "Configuration",
    ("Snapshot", "endpoints"): "Endpoint",
    ("MemberUpdate", "update"): "FleetUpdate",
    ("MemberNews", "news"): "FleetNews",
}
"""Types of separately encoded elements, by message and field, with earlier builds' names."""


class Sampler:
    """Makes values with all fields set."""

    def __init__(self, known: dict[str, type]) -> None:
        self.known = known

    def value(self, kind: object, owner: str = "", field: str = "") -> object:
        """Return a value of a type, in a field of the owning message."""
        if kind is msgspec.Raw:
            part = self.known[RAW_PARTS[owner, field]]
            return msgspec.Raw(msgspec.msgpack.encode(self.value(part)))
        if isinstance(kind, type) and not typing.get_args(kind):
            return self._plain(kind, field)
        origin, arguments = typing.get_origin(kind), typing.get_args(kind)
        if origin in (list, tuple, collections.abc.Sequence):
            return origin_list(origin, self.value(arguments[0], owner, field))
        if origin in (dict, collections.abc.Mapping):
            key = "7" if arguments[0] is str else self.value(arguments[0])
            return {key: self.value(arguments[1], owner, field)}
        if origin in (typing.Union, types.UnionType):
            return self.value(arguments[0], owner, field)
        raise TypeError(f"{owner}.{field} is a {kind}: add a sample for it to message_samples.")

    def _plain(self, kind: type, field: str) -> object:
        samples = {str: f"{field}-1", int: 7, float: 2.5, bool: True}
        if kind in samples:
            return samples[kind]
        if issubclass(kind, enum.Enum):
            return next(iter(kind))
        hints = typing.get_type_hints(kind)
        if dataclasses.is_dataclass(kind):
            names = [one.name for one in dataclasses.fields(kind)]
        else:
            names = [
                one.name for one in msgspec.structs.fields(typing.cast(type[msgspec.Struct], kind))
            ]
        return kind(**{name: self.value(hints[name], kind.__name__, name) for name in names})


def origin_list(origin: object, element: object) -> object:
    """Return a field's sequence of one element."""
    return (element,) if origin is tuple else [element]


def samples() -> dict[str, str]:
    """Return this build's encoded messages and records, in hex, by type name."""
    from plumarch.config import routing_table
    from plumarch.core import traffic
    from plumarch.fleet import duty_lease
    from plumarch.membership import node_record
    from plumarch.peers import gossip

    fleet_update = vars(gossip).get("FleetUpdate") or vars(gossip)["FleetNews"]
    sent = [*typing.get_args(gossip.Datagram), fleet_update]
    sent += [gossip.SnapshotRequest, gossip.Snapshot]
    try:
        from plumarch.peers import tunnels

        sent += [tunnels.TunnelRequest, tunnels.TunnelAnswer]
    except ImportError:
        pass  # Builds without tunnels.
    known = {one.__name__: one for one in sent}
    known |= {"Configuration": routing_table.Configuration, "Endpoint": traffic.Endpoint}
    sampler = Sampler(known)
    found = {
        one.__name__: msgspec.msgpack.encode(sampler.value(one)).hex()
        for one in [*sent, routing_table.Configuration, traffic.Endpoint]
    }
    stored: dict[str, object] = {
        "DutyRecord": duty_lease.DutyRecord,
        "NodeRecord": list[node_record.NodeRecord],
    }
    try:
        from plumarch.peers import suspect_entries

        names = vars(suspect_entries)
        suspect = names.get("ReportedSuspect") or names["ToldSuspect"]
        stored[suspect.__name__] = types.GenericAlias(list, (suspect,))
    except ImportError:
        pass  # Builds without the quarantine store no suspects.
    for name, kind in stored.items():
        found[name] = msgspec.json.encode(sampler.value(kind)).hex()
    return found


def main() -> None:
    """Write this build's samples."""
    if len(sys.argv) != 2:
        sys.exit("Name the build: python -m plumarch.peers.message_samples NAME")
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f"{sys.argv[1]}.json"
    path.write_text(json.dumps(samples(), indent=1, sort_keys=True) + "\n", encoding="utf-8")
    print(f"{path.name} written.")


if __name__ == "__main__":
    main()
