"""Messages of another build of which a part can't be read: that part is left out, the rest counts.

Only what the ordinary decoder refuses comes here, so that it costs nothing where all nodes agree.
"""

import dataclasses
import typing
from typing import Any

import msgspec

from plumarch.peers import gossip

KINDS: dict[int, type[msgspec.Struct]] = {
    one.__struct_config__.tag: one
    for one in (
        gossip.Heartbeat,
        gossip.LoadNotice,
        gossip.CentreSummary,
        gossip.MemberUpdate,
        gossip.CentreDirectory,
        gossip.SuspectUpdate,
        gossip.PermitRequest,
        gossip.PermitAnswer,
        gossip.RateUpdate,
    )
    if isinstance(one.__struct_config__.tag, int)
}
"""Datagrams by the number that they begin with."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartialDatagram:
    """A datagram without what can't be read of it.

    Attributes:
      unreadable: names of the fields that lack something.
    """

    datagram: Any
    unreadable: tuple[str, ...]


def read(data: bytes) -> PartialDatagram:
    """Return what can be read of a datagram.

    A part of a list is left out by itself; a field with a default is taken as not told.

    Raises:
      msgspec.DecodeError: its kind is not known, or what it can't do without can't be read.
    """
    parts = msgspec.msgpack.decode(data)
    number = parts[0] if isinstance(parts, list) and parts else None
    kind = KINDS.get(number) if isinstance(number, int) else None
    if kind is None:
        raise msgspec.ValidationError("no kind of message that this build knows")
    found: dict[str, object] = {}
    unreadable = []
    for field, part in zip(msgspec.structs.fields(kind), parts[1:], strict=False):
        try:
            found[field.name] = msgspec.convert(part, field.type)
            continue
        except msgspec.ValidationError:
            unreadable.append(field.name)
            if isinstance(part, list) and typing.get_origin(field.type) is list:
                found[field.name] = _readable(part, field.type)
            elif field.required:
                raise
    try:
        return PartialDatagram(kind(**found), tuple(unreadable))
    except TypeError as error:
        raise msgspec.ValidationError(str(error)) from error


def _readable(parts: list[Any], kind: Any) -> list[Any]:
    """Return the parts of a list that can be read."""
    found: list[Any] = []
    for part in parts:
        try:
            found += msgspec.convert([part], kind)
        except msgspec.ValidationError:
            continue
    return found
