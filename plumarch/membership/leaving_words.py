"""Endpoints that said themselves, in answers to requests, that they leave.

A source of endpoints may be silent for long, and an endpoint's own entry can't change meanwhile.
What its process says is newer than any entry of that process, so a list that has it as ready
changes nothing. No I/O; the registry asks here for each entry that it takes in.
"""

import dataclasses

from plumarch.core import clock, traffic

KEPT_MS = 600_000
"""How long a word counts after it was last said. Endpoints that leave are gone within seconds, or
minutes where long streams end first; one that is still listed as ready then stays after all."""

MOST_KEPT = 8_192
"""Words that are kept, some 300 bytes each; more than twice the endpoints of the largest fleet."""


@dataclasses.dataclass(slots=True)
class LeavingWord:
    """What an endpoint said.

    Attributes:
      id: the incarnation that was asked.
      alive_ms: time of day at which the process that said it was alive for certain.
      said_ms: when it said so last, by the steady clock.
      listed: its entry as the source told it last, or None if it told none since.
      is_gone: whether its entry has vanished since.
    """

    id: str
    alive_ms: int
    said_ms: int
    listed: traffic.Endpoint | None = None
    is_gone: bool = False


@dataclasses.dataclass(slots=True)
class LeavingWords:
    """The words that count, by what the endpoint calls itself."""

    clock: clock.Clock
    known: dict[str, LeavingWord] = dataclasses.field(default_factory=dict)

    def note(self, endpoint: traffic.Endpoint, alive_ms: int) -> bool:
        """Take in that an endpoint says that it leaves.

        Args:
          endpoint: the incarnation that was asked; its name may have started again since its entry
            was written, and then another process has answered.
          alive_ms: time of day at which the connection to the process that answered came up.
        Returns:
          Whether that is news.
        """
        name, now = endpoint.called(), self.clock.now()
        before = self.known.get(name)
        if before is not None and before.id == endpoint.id:
            before.alive_ms = max(before.alive_ms, alive_ms)
            before.said_ms = now
            return False
        self.known.pop(name, None)
        self.known[name] = LeavingWord(endpoint.id, alive_ms, now)
        while len(self.known) > MOST_KEPT:
            del self.known[next(iter(self.known))]
        return True

    def applied(self, listed: traffic.Endpoint) -> traffic.Endpoint:
        """Return an endpoint with its state as it said it itself, whatever its entry tells."""
        word = self.known.get(listed.called())
        if word is None:
            return listed
        if word.is_gone and not listed.born_ms and listed.id == word.id:
            # It tells no birth, so an entry that comes back is the only sign of a new start.
            del self.known[listed.called()]
            return listed
        if not listed.is_meant(word.id, word.alive_ms):
            word.listed = None
            return listed
        word.listed, word.is_gone = listed, False
        if listed.state is traffic.EndpointState.DRAINING:
            return listed
        return dataclasses.replace(listed, state=traffic.EndpointState.DRAINING)

    def vanished(self, endpoint: traffic.Endpoint) -> None:
        """Take in that an endpoint's entry is gone."""
        word = self.known.get(endpoint.called())
        if word is not None:
            word.listed, word.is_gone = None, True

    def in_force(self) -> list[str]:
        """Return the names of listed endpoints that are left out by their word."""
        return [name for name, word in self.known.items() if word.listed is not None]

    def take_back_old(self) -> list[traffic.Endpoint]:
        """Forget what was said too long ago.

        Returns:
          The entries that count again as they are listed.
        """
        now = self.clock.now()
        old = [name for name, word in self.known.items() if now - word.said_ms >= KEPT_MS]
        words = [self.known.pop(name) for name in old]
        return [word.listed for word in words if word.listed is not None]
