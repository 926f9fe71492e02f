"""Splitting of events from chunks of any size."""

import random

from plumarch.gateway.dispatch import event_stream

TEXT = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: cut"


def test_chunks_of_any_size_give_the_same_complete_events():
    whole = event_stream.Splitter().feed(TEXT)
    assert [event.id for event in whole] == ["1", "2", ""]
    for seed in range(50):
        rng = random.Random(seed)
        splitter = event_stream.Splitter()
        events: list[event_stream.Event] = []
        at = 0
        while at < len(TEXT):
            size = rng.randint(1, 9)
            events += splitter.feed(TEXT[at : at + size])
            at += size
        assert events == whole
        assert splitter.buffered == b"id: 3\ndata: cut"


def test_splitting_preserves_all_bytes():
    splitter = event_stream.Splitter()
    events = splitter.feed(TEXT)
    assert b"".join(event.raw for event in events) + splitter.buffered == TEXT


def test_numeric_ids_must_be_consecutive():
    assert event_stream.follows("", "7")
    assert event_stream.follows("7", "8")
    assert not event_stream.follows("7", "9")
    assert not event_stream.follows("7", "7")
    assert event_stream.follows("7", "x")
