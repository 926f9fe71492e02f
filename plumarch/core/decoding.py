"""Decoding of texts and messages from other writers, which fails with msgspec.DecodeError only.

msgspec raises other errors for text with lone surrogates and for values nested too deep.
"""

from typing import Protocol, TypeVar

import msgspec

Decoded = TypeVar("Decoded")
Decoded_co = TypeVar("Decoded_co", covariant=True)

Encoded = bytes | bytearray | memoryview | msgspec.Raw


class Decoder(Protocol[Decoded_co]):
    """A msgspec decoder of one type."""

    def decode(self, encoded: Encoded, /) -> Decoded_co:
        """Decode a message."""


def json_text(text: str, kind: type[Decoded]) -> Decoded:
    """Decode a JSON text.

    Raises:
      msgspec.DecodeError: it is not of this type.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except (RecursionError, UnicodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def message(decoder: Decoder[Decoded], encoded: Encoded) -> Decoded:
    """Decode a binary message.

    Raises:
      msgspec.DecodeError: it is not of the decoder's type.
    """
    try:
        return decoder.decode(encoded)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error
