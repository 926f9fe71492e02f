"""Counts messages that this build cannot decode, and logs the first of each sender and kind.

A newer build may send unknown fields or kinds as often as each heartbeat.
"""

from typing import cast

import msgspec

from plumarch.core import decoding
from plumarch.gateway import fleet_state
from plumarch.membership import fleet_view
from plumarch.peers import gossip, tolerant

MAX_LOGGED = 64
"""Maximum number of senders and kinds that are logged."""

MAX_ERROR_LENGTH = 200
"""Maximum length of a logged decoding error, in characters."""

KINDS = 256
"""Number of message kinds that the metric distinguishes."""

NO_KIND = "none"


class UnreadableMessages:
    """Counts and logs unreadable messages; `logged` holds senders and kinds."""

    def __init__(self, state: fleet_state.FleetState, view: fleet_view.FleetView) -> None:
        self.state = state
        self.view = view
        self.logged: set[tuple[str, str]] = set()

    def note(self, sender: str, data: bytes, error: msgspec.DecodeError) -> None:
        """Record a message that cannot be decoded.

        Args:
          sender: the sender's IP.
        """
        kind, build = _kind(data), self._build_of(sender)
        self.state.measures.unreadable_messages.add(kind, build)
        if (sender, kind) in self.logged or len(self.logged) >= MAX_LOGGED:
            return
        self.logged.add((sender, kind))
        self.state.log.write(
            "bad_heartbeat",
            sender=sender,
            message=kind,
            build=build,
            error=str(error)[:MAX_ERROR_LENGTH],
        )

    @staticmethod
    def readable_part(data: bytes) -> gossip.Datagram | None:
        """Return a message without its unreadable parts, or None if too little is left."""
        try:
            return cast(gossip.Datagram, tolerant.read(data).datagram)
        except msgspec.DecodeError:
            return None

    def _build_of(self, sender: str) -> str:
        """Return the last known build of the node at an IP, or ""."""
        for peer in self.view.peers.values():
            if peer.address.rpartition(":")[0] == sender:
                return peer.build
        return ""


def _kind(data: bytes) -> str:
    """Return a message's kind, the number that it starts with, as text."""
    try:
        first = decoding.message(tolerant.ANY_DECODER, data)[0]
    except (msgspec.DecodeError, TypeError, IndexError, KeyError):
        return NO_KIND
    return str(first) if isinstance(first, int) and 0 <= first < KINDS else NO_KIND
