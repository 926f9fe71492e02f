"""Reads messages of other builds, leaving out unreadable portions.

Used only after the ordinary decoder refused a message, to cost nothing otherwise.
"""

import dataclasses
import typing
from typing import Any

import msgspec

from plumarch.core import decoding
from plumarch.peers import gossip

KINDS: dict[int, type[msgspec.Struct]] = {
    one.__struct_config__.tag: one for one in typing.get_args(gossip.Datagram)
}
"""Datagram types by tag."""

ANY_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder()


@dataclasses.dataclass(frozen=True, slots=True)
class PartialDatagram:
    """A datagram without its unreadable portion.

    Attributes:
      unreadable: fields that lack something.
    """

    datagram: Any
    unreadable: tuple[str, ...]


def read(data: bytes) -> PartialDatagram:
    """Return a datagram's readable portion.

    Unreadable list elements are left out; an unreadable field gets its default.

    Raises:
      msgspec.DecodeError: the type is unknown, or a required field is unreadable.
    """
    parts = decoding.message(ANY_DECODER, data)
    number = parts[0] if isinstance(parts, list) and parts else None
    kind = KINDS.get(number) if isinstance(number, int) else None
    if kind is None:
        raise msgspec.ValidationError("message type unknown to this build")
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
    """Return the readable elements of a list."""
    found: list[Any] = []
    for part in parts:
        try:
            found += msgspec.convert([part], kind)
        except msgspec.ValidationError:
            continue
    return found
