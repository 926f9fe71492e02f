"""Messages of other nodes that this build can't read: counted, and told once.

A newer build may tell what this one doesn't know, ten times a second for as long as both run. What
can't be read costs that part of a message alone, or that message.
"""

from typing import cast

import msgspec

from plumarch.gateway import fleet_state
from plumarch.membership import fleet_view
from plumarch.peers import gossip, tolerant

MAX_LOGGED = 64
"""Senders and kinds that are logged; of more, the count says enough."""

MAX_ERROR_LENGTH = 200
"""Characters that are told of why a message can't be read."""

KINDS = 256
"""Numbers of kinds that are told apart; a larger one is no kind that a build will ever send."""

NO_KIND = "none"


class UnreadableMessages:
    """Which ones were told already, by sender and kind."""

    def __init__(self, state: fleet_state.FleetState, view: fleet_view.FleetView) -> None:
        self.state = state
        self.view = view
        self.logged: set[tuple[str, str]] = set()

    def note(self, sender: str, data: bytes, error: msgspec.DecodeError) -> None:
        """Take in a message that can't be read.

        Args:
          sender: IP of who sent it.
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
        """Return a message without the parts that can't be read, or None if too little is left."""
        try:
            return cast(gossip.Datagram, tolerant.read(data).datagram)
        except msgspec.DecodeError:
            return None

    def _build_of(self, sender: str) -> str:
        """Return the build that the node at an IP told last, or "" if none is known."""
        for peer in self.view.peers.values():
            if peer.address.rpartition(":")[0] == sender:
                return peer.build
        return ""


def _kind(data: bytes) -> str:
    """Return the number that says what a message is, as text."""
    try:
        first = msgspec.msgpack.decode(data)[0]
    except (msgspec.DecodeError, TypeError, IndexError, KeyError):
        return NO_KIND
    return str(first) if isinstance(first, int) and 0 <= first < KINDS else NO_KIND
