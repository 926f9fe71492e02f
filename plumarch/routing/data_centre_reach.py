"""Which data centres can be reached from here, judged by connections to their endpoints.

A data centre that is cut off fails all connections alike, and each takes until its time limit to
fail. Endpoints are judged one by one (endpoint_health), and never more than half of them are left
out; so a cut would cost every request a vain try or two. Here two failures in a row at endpoints
of one data centre, with none that came up between them, leave all of it out for a while, and
then one connection tries again.
"""

import dataclasses

from plumarch.core import clock

FAILURES_IN_ROW = 2
"""One failure may be a single endpoint's, two in a row without a success hardly are."""

FIRST_PAUSE_MS = 700
"""How long a data centre is left out at first; a judgement: three times the time that a
connection may take."""

PAUSE_CONNECTS = 3
"""Connections' time limits that the first pause stands for; so it grows with the distance."""

MAX_PAUSE_MS = 2_800
"""The pause doubles up to this; cuts end after some seconds, and a data centre that is back is
then used again within as long."""


@dataclasses.dataclass(slots=True)
class Reach:
    """What is known of one data centre.

    Attributes:
      failed: endpoints that could not be connected to since the last connection that came up.
      excluded_until_ms: none of its endpoints gets work before then.
      pauses: how often it was left out since then.
      trying: whether a connection tries it again just now.
      extra_ms: what its distance adds to each pause.
    """

    failed: set[str] = dataclasses.field(default_factory=set)
    excluded_until_ms: int = 0
    pauses: int = 0
    probing: bool = False
    extra_ms: int = 0


@dataclasses.dataclass(slots=True)
class DataCentreReach:
    """The data centres other than the node's own, by name."""

    clock: clock.Clock
    own: str
    known: dict[str, Reach] = dataclasses.field(default_factory=dict)

    def connected(self, data_centre: str) -> None:
        """Note a connection that came up."""
        self.known.pop(data_centre, None)

    def failed(self, data_centre: str, endpoint: str, extra_ms: float = 0.0) -> bool:
        """Note a connection that did not come up in time.

        Args:
          extra_ms: by how much longer a connection there may take than one within the region; a
            pause is longer by PAUSE_CONNECTS times as much.
        Returns:
          Whether the data centre is left out from now on.
        """
        if data_centre == self.own:
            return False
        reach = self.known.setdefault(data_centre, Reach())
        reach.failed.add(endpoint)
        reach.extra_ms = round(PAUSE_CONNECTS * extra_ms)
        now = self.clock.now()
        if now < reach.excluded_until_ms and not reach.probing:
            return False
        reach.probing = False
        if len(reach.failed) < FAILURES_IN_ROW and not reach.pauses:
            return False
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2**reach.pauses)
        reach.excluded_until_ms = now + pause_ms + reach.extra_ms
        reach.pauses += 1
        return True

    def is_excluded(self, data_centre: str) -> bool:
        """Return whether a data centre is left out now."""
        reach = self.known.get(data_centre)
        return reach is not None and self.clock.now() < reach.excluded_until_ms

    def begin_probe(self, data_centre: str) -> None:
        """Leave a data centre out until the connection that tries it again has ended."""
        reach = self.known.get(data_centre)
        if reach is not None and reach.pauses and self.clock.now() >= reach.excluded_until_ms:
            reach.probing = True
            reach.excluded_until_ms = self.clock.now() + FIRST_PAUSE_MS + reach.extra_ms
