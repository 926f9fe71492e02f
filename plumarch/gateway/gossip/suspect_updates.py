"""Exchange of updates on suspect requests, under which endpoints crashed.

A crash is published at once and again with later heartbeats, since datagrams are lost. In a large
fleet coordinators forward it.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from plumarch.gateway import fleet_state
from plumarch.limits import quarantine
from plumarch.peers import gossip, suspect_entries

OWN_SENDS = 8
"""How often this node's own update is sent."""

FORWARDED_SENDS = 4
"""How often an update of another node is forwarded."""

MAX_SUSPECTS = 8
"""Requests in one datagram."""

MAX_DATAGRAMS = 3
"""Datagrams per heartbeat; the requests with most points go first."""

QUARANTINED_INTERVAL = 16
"""Heartbeats between announcements of the quarantined requests, for nodes that joined late."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class SuspectPublisher:
    """Publishes one node's updates on suspect requests.

    Attributes:
      send: sends a message to addresses.
      forwards: whether received updates are forwarded at once, as coordinators do.
      recipients: addresses to which this node sends.
      due: how often each request is still to be sent, by its fingerprint.
      heartbeat_count: heartbeats so far.
    """

    state: fleet_state.FleetState
    node: str
    send: Send
    recipients: Callable[[], Iterable[str]]
    forwards: Callable[[], bool]
    due: dict[str, int] = dataclasses.field(default_factory=dict)
    heartbeat_count: int = 0

    def publish(self, fingerprints: Sequence[str]) -> None:
        """Send what is known of suspects now, and again with the next heartbeats."""
        for fingerprint in fingerprints:
            self.due[fingerprint] = OWN_SENDS
        self._send_due(self._most_suspect(fingerprints))

    def step(self) -> None:
        """Send what is due with a heartbeat."""
        self.heartbeat_count += 1
        known = self.state.quarantine
        if self.heartbeat_count % QUARANTINED_INTERVAL == 0:
            for suspect in known.held()[:MAX_SUSPECTS]:
                self.due.setdefault(suspect.fingerprint, 1)
        self._send_due(self._most_suspect(self.due))

    def _most_suspect(self, fingerprints: Iterable[str]) -> list[str]:
        """Return as many as may be sent at once, those with the most points first."""
        points = self.state.quarantine.points
        ordered = sorted(fingerprints, key=lambda name: (-points(name), name))
        return ordered[: MAX_SUSPECTS * MAX_DATAGRAMS]

    def _send_due(self, fingerprints: list[str]) -> None:
        found = []
        for name in fingerprints:
            self.due[name] -= 1
            if self.due[name] <= 0:
                del self.due[name]
            suspect = self.state.quarantine.suspects.get(name)
            if suspect is not None:
                found.append(suspect_entries.to_message(suspect))
        recipients = list(self.recipients()) if found else []
        for first in range(0, len(found), MAX_SUSPECTS):
            update = gossip.SuspectUpdate(self.node, found[first : first + MAX_SUSPECTS])
            self.send(update, recipients)

    def send_quarantined(self, address: str) -> None:
        """Send the quarantined requests to a node that just became reachable."""
        quarantined = self.state.quarantine.held()[:MAX_SUSPECTS]
        if quarantined:
            suspects = [suspect_entries.to_message(one) for one in quarantined]
            self.send(gossip.SuspectUpdate(self.node, suspects), [address])

    def apply(self, update: gossip.SuspectUpdate) -> None:
        """Apply another node's update."""
        suspects = [suspect_entries.from_message(one) for one in update.suspects]
        changed = adopt(self.state, suspects, update.node)
        for name in changed:
            self.due[name] = max(FORWARDED_SENDS, self.due.get(name, 0))
        if changed and self.forwards():
            self._send_due(changed[:MAX_SUSPECTS])


def adopt(
    state: fleet_state.FleetState, suspects: Iterable[quarantine.Suspect], source: str
) -> list[str]:
    """Merge what others know, and log requests that become quarantined or cleared by it.

    Args:
      source: a node's name, or the store.
    Returns:
      The fingerprints of changed entries.
    """
    known = state.quarantine
    reported = list(suspects)
    before = {
        one.fingerprint: known.find_quarantined(one.fingerprint) is not None for one in reported
    }
    changed = known.merge(reported)
    for name in changed:
        log_change(state, name, before[name], source)
    return changed


def log_change(
    state: fleet_state.FleetState, fingerprint: str, was_quarantined: bool, source: str
) -> None:
    """Log that a request became quarantined, or was cleared."""
    hold = state.quarantine.find_quarantined(fingerprint)
    if hold is not None and not was_quarantined:
        state.measures.quarantined.add("held")
        state.log.write(
            "quarantined",
            urgent=True,
            fingerprint=fingerprint,
            endpoints=[end.endpoint for end in hold.suspect.crashes],
            points=hold.suspect.points(),
            trials=hold.suspect.trials,
            trial_in_ms=hold.back_in_ms,
            source=source,
        )
    elif hold is None and was_quarantined:
        state.measures.quarantined.add("cleared")
        state.log.write("quarantine_cleared", urgent=True, fingerprint=fingerprint, source=source)
