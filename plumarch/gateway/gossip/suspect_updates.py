"""What nodes learn of requests under which endpoints ended, told to one another.

A node that saw an end tells it at once, and again with some heartbeats after it, since datagrams
are lost. Who hears of it tells it on: in a large fleet a member tells its coordinators, and these
their members and the coordinators of the other data centres. Nothing is sent while nothing ends.
"""

import dataclasses
from collections.abc import Callable, Iterable

from plumarch.gateway import fleet_state
from plumarch.limits import quarantine
from plumarch.peers import gossip, suspect_entries

TELLINGS = 8
"""How often this node's own news are told: two seconds of heartbeats, of which a bad link loses a
few in a hundred."""

TELLINGS_ON = 4
"""How often others' news are told on. A member of a large fleet hears of them from its two
coordinators only: at a loss of one datagram in five, one of 400,000 members misses all eight."""

SUSPECTS_EACH = 8
"""Requests in one datagram, some 150 bytes each."""

DATAGRAMS_EACH = 3
"""Datagrams at a time, the requests with the most ends first: where a data centre ends at once, its
bystanders are told over the next heartbeats."""

HELD_EVERY = 16
"""Every how many heartbeats the requests that are held back are told, to nodes that started, or
were cut off, since."""

Send = Callable[[gossip.Datagram, Iterable[str]], None]


@dataclasses.dataclass(slots=True)
class SuspectPublisher:
    """One node's news of suspect requests.

    Attributes:
      send: sends a message to addresses.
      tells_on: whether what is heard is told on at once, as coordinators do.
      recipients: whom this node tells.
      due: how often each request is to be told still, by its fingerprint.
      beats: heartbeats so far.
    """

    state: fleet_state.FleetState
    node: str
    send: Send
    recipients: Callable[[], Iterable[str]]
    tells_on: Callable[[], bool]
    due: dict[str, int] = dataclasses.field(default_factory=dict)
    beats: int = 0

    def learned(self, fingerprint: str) -> None:
        """Tell at once what this node saw of a request, and again with the next heartbeats."""
        self.due[fingerprint] = TELLINGS
        self._tell([fingerprint])

    def step(self) -> None:
        """Tell what is due with a heartbeat."""
        self.beats += 1
        known = self.state.quarantine
        if self.beats % HELD_EVERY == 0:
            for suspect in known.held()[:SUSPECTS_EACH]:
                self.due.setdefault(suspect.fingerprint, 1)
        chosen = sorted(self.due, key=lambda name: (-known.points(name), name))
        self._tell(chosen[: SUSPECTS_EACH * DATAGRAMS_EACH])

    def _tell(self, fingerprints: list[str]) -> None:
        found = []
        for name in fingerprints:
            self.due[name] -= 1
            if self.due[name] <= 0:
                del self.due[name]
            suspect = self.state.quarantine.suspects.get(name)
            if suspect is not None:
                found.append(suspect_entries.to_message(suspect))
        recipients = list(self.recipients()) if found else []
        for first in range(0, len(found), SUSPECTS_EACH):
            news = gossip.SuspectUpdate(self.node, found[first : first + SUSPECTS_EACH])
            self.send(news, recipients)

    def meet(self, address: str) -> None:
        """Tell a node that is heard for the first time, or again, what is held back."""
        held = self.state.quarantine.held()[:SUSPECTS_EACH]
        if held:
            told = [suspect_entries.to_message(one) for one in held]
            self.send(gossip.SuspectUpdate(self.node, told), [address])

    def apply(self, told: gossip.SuspectUpdate) -> None:
        """Take in what another node tells."""
        suspects = [suspect_entries.from_message(one) for one in told.suspects]
        news = adopt(self.state, suspects, told.node)
        for name in news:
            self.due[name] = max(TELLINGS_ON, self.due.get(name, 0))
        if news and self.tells_on():
            self._tell(news[:SUSPECTS_EACH])


def adopt(
    state: fleet_state.FleetState, suspects: Iterable[quarantine.Suspect], source: str
) -> list[str]:
    """Take in what others know, and log what is held back, or no longer, by that.

    Args:
      source: who told: a node, or the store.
    Returns:
      The fingerprints of which something was news.
    """
    known = state.quarantine
    told = list(suspects)
    before = {one.fingerprint: known.find_quarantined(one.fingerprint) is not None for one in told}
    news = known.merge(told)
    for name in news:
        log_change(state, name, before[name], source)
    return news


def log_change(
    state: fleet_state.FleetState, fingerprint: str, was_quarantined: bool, source: str
) -> None:
    """Log that a request is held back from now on, or no longer."""
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
