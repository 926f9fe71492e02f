"""Frames of tunnels."""

import msgspec
import pytest

from plumarch.core import errors
from plumarch.gateway.gossip import peer_server
from plumarch.peers import frames, gossip, tunnels

STREAM = frames.pack(b"one") + frames.pack(b"two") + tunnels.RESET + frames.pack(b"x") + tunnels.END


@pytest.mark.parametrize("size", [1, 2, 5, len(STREAM)])
def test_frames_are_read_whatever_the_size_of_the_reads(size: int):
    reader = tunnels.FrameReader()
    found = []
    for start in range(0, len(STREAM), size):
        reader.feed(STREAM[start : start + size])
        found += reader.frames(10)
    assert found == [b"one", b"two", tunnels.Ending.RESET, b"x", tunnels.Ending.CLOSED]
    assert not reader.received


@pytest.mark.parametrize("ending", [tunnels.END, tunnels.RESET])
def test_data_that_looks_like_an_ending_is_data(ending: bytes):
    reader = tunnels.FrameReader()
    reader.feed(frames.pack(ending) + ending)
    [data, last] = reader.frames(10)
    assert data == ending and last != ending


def test_a_frame_over_the_limit_is_an_error():
    reader = tunnels.FrameReader()
    reader.feed(frames.pack(b"12345"))
    with pytest.raises(errors.PeerProtocolError):
        list(reader.frames(4))


def test_a_tunnel_request_is_no_snapshot_request_for_any_build():
    """An earlier build closes the connection, which counts as a tunnel declined."""
    request = tunnels.TunnelRequest("n", "e", "10.0.0.1:80", 250)
    with pytest.raises(msgspec.DecodeError):
        gossip.request_decoder.decode(tunnels.encoder.encode(request))
    assert peer_server.decode(tunnels.encoder.encode(request)) == request
    snapshot = gossip.SnapshotRequest(1, 2)
    assert peer_server.decode(gossip.encoder.encode(snapshot)) == snapshot
