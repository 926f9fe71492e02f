"""Decoding fails with one type of error, whatever the encoded value holds."""

import msgspec
import pytest

from plumarch.core import decoding
from plumarch.core import records as core_records
from plumarch.fleet import duty_lease
from plumarch.gateway.store import quarantine_record
from plumarch.membership import node_record

NESTED = "[" * 3_000 + "]" * 3_000
TEXTS = ("", "no json", "\ud800", '"\ud800"', NESTED, f'{{"x": {NESTED}}}', f'[{{"x": {NESTED}}}]')


@pytest.mark.parametrize("text", TEXTS)
def test_an_undecodable_text_raises_a_decode_error(text: str):
    with pytest.raises(msgspec.DecodeError):
        decoding.json_text(text, dict[str, int])


def test_a_message_nested_too_deep_raises_a_decode_error():
    with pytest.raises(msgspec.DecodeError):
        decoding.message(msgspec.msgpack.Decoder(), b"\x91" * 3_000 + b"\x01")


@pytest.mark.parametrize("text", TEXTS)
def test_own_records_with_an_undecodable_value_end_no_task(text: str):
    """Other errors ended the tasks that read the records, each time that they were restarted."""
    record = core_records.Record("n", text, 1)
    assert not node_record.decode(record)
    assert not quarantine_record.decode(text)
    with pytest.raises(msgspec.DecodeError):
        duty_lease.decode(record)
