"""What a service's other endpoints are given after one of them fell over.

An endpoint that falls gives its load back at once: its callers and this fleet repeat it, and the
next endpoint may fall under it. So after a fall the service as a whole takes on a bounded share of
what was lost, which grows again with time, urgent requests first. And what made one endpoint fall
is kept from the others: they have as much memory as it had, as far as anybody knows.
"""

import dataclasses

from plumarch.core import clock
from plumarch.routing import concurrency_limit

INITIAL_FRACTION = 0.25
"""Part of what the fallen endpoint held that the others may take on at once. With four others or
more each gets a sixteenth of its load, which is less than loads differ anyhow."""

UNLIMITED_PEERS = 16
"""Others of a service among which the whole load of a fallen endpoint is let in at once: each gets
a sixteenth of it at most, as with INITIAL_FRACTION among four."""

RAMP_MS = 4_000
"""Time in which the rest of it is let in: a caller that was turned away comes back within it."""

RANK_STEP = 0.05
"""Part of the room that each rank leaves to the more urgent ones."""

MIN_RANK_FRACTION = 0.5
"""The least urgent ranks still get this part of the room, so that none is starved."""

LOSS_WINDOW_MS = 250
"""Connections of an endpoint that are lost within this time are lost together: a crash ends all at
once, and this is a connect's time limit, within which a process sees them end."""

CRASH_LOSSES = 2
"""Connections lost together that are a fall. One alone may be the fault of its own request."""


@dataclasses.dataclass(slots=True)
class Losses:
    """Connections that one endpoint lost lately.

    Attributes:
      first_ms: when the first of them was lost.
      held: requests that it held then.
      weight: what they weighed.
      count: how many were lost since; LOSSES make a fall.
    """

    first_ms: int
    running: int
    weight: float
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint fell.

    Attributes:
      endpoint: its identifier.
      held: requests that it held.
      weight: what they weighed, in tokens.
      slots: requests that it worked on at once.
      elsewhere: requests that the service's other endpoints held then.
    """

    endpoint: str
    at_ms: int
    running: int
    weight: float
    slots: int
    elsewhere: int

    def by_count(self) -> bool:
        """Return whether it held more requests than it works on at once.

        One that fell with less was lost for another reason, or by what its requests weighed.
        """
        return self.running > self.slots


@dataclasses.dataclass(slots=True)
class ServiceCrashes:
    """What falls taught about the endpoints of one service.

    Attributes:
      last: the latest fall under more than endpoints bear every day.
      per_slot: requests for each slot that an endpoint may hold, or None.
      weight: what the requests of an endpoint may weigh, or None.
      learned_ms: when the two before were learned; they are forgotten after CRASH_RETENTION_MS.
      borne: the greatest weight under which an endpoint answered since this process started.
    """

    last: Crash | None = None
    per_slot: float | None = None
    weight: float | None = None
    learned_ms: int = 0
    max_sustained_weight: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashGuard:
    """Falls of endpoints, by service, and the losses by which they are noticed.

    Attributes:
      losses: connections lost lately, by endpoint identifier.
    """

    clock: clock.Clock
    services: dict[str, ServiceCrashes] = dataclasses.field(default_factory=dict)
    losses: dict[str, Losses] = dataclasses.field(default_factory=dict)

    def lost(self, endpoint: str, running: int, weight: float) -> Losses | None:
        """Count a connection that ended while its request ran.

        Args:
          held: requests at the endpoint, with this one.
        Returns:
          What was lost, once it shows that the endpoint fell; each fall is told once.
        """
        now = self.clock.now()
        losses = self.losses.get(endpoint)
        if losses is None or now - losses.first_ms > LOSS_WINDOW_MS:
            losses = self.losses[endpoint] = Losses(now, running, weight)
        losses.count += 1
        return losses if losses.count == CRASH_LOSSES else None

    def connect_failed(self, endpoint: str) -> Losses | None:
        """Take in that an endpoint can't be connected to.

        Returns:
          What was lost, if it had lost one connection just before; that makes it a fall.
        """
        losses = self.losses.get(endpoint)
        if losses is None or losses.count >= CRASH_LOSSES:
            return None
        if self.clock.now() - losses.first_ms > LOSS_WINDOW_MS:
            return None
        losses.count = CRASH_LOSSES
        return losses

    def note_answer(self, endpoint: str) -> None:
        """Take in an answer: what the endpoint lost before it was no fall."""
        self.losses.pop(endpoint, None)

    def observe_load(self, service: str, weight: float) -> None:
        """Take in that an endpoint answered well while its requests weighed so much."""
        crashes = self.services.setdefault(service, ServiceCrashes())
        crashes.max_sustained_weight = max(weight, crashes.max_sustained_weight)

    def crashed(self, service: str, crash: Crash) -> None:
        """Take in a fall.

        One under no more than endpoints bear every day is a loss like any other, and its load may
        go to the others at once.
        """
        crashes = self.services.setdefault(service, ServiceCrashes())
        by_weight = crash.weight > crashes.max_sustained_weight > 0
        if not crash.by_count() and not by_weight:
            return
        crashes.learned_ms = crash.at_ms
        if crash.by_count():
            crashes.per_slot = concurrency_limit.DECREASE * crash.running / max(1, crash.slots)
        if by_weight:
            crashes.weight = max(
                crashes.max_sustained_weight, concurrency_limit.DECREASE * crash.weight
            )
        crashes.last = crash

    def per_slot(self, service: str) -> float | None:
        """Return how many requests for each slot an endpoint may hold by falls, or None.

        It is 1 at least: a fall says nothing against an endpoint's slots.
        """
        crashes = self._learned(service)
        if crashes is None or crashes.per_slot is None:
            return None
        return max(1.0, crashes.per_slot)

    def weight(self, service: str) -> float | None:
        """Return what an endpoint's requests may weigh by what falls taught, or None.

        It is no less than what another one bore since.
        """
        crashes = self._learned(service)
        if crashes is None or crashes.weight is None:
            return None
        return max(crashes.weight, crashes.max_sustained_weight)

    def _learned(self, service: str) -> ServiceCrashes | None:
        crashes = self.services.get(service)
        if crashes is None:
            return None
        if self.clock.now() - crashes.learned_ms < concurrency_limit.CRASH_RETENTION_MS:
            return crashes
        crashes.per_slot = crashes.weight = None
        return None

    def recent(self, service: str) -> Crash | None:
        """Return the last fall of a service while its load is still let in by parts."""
        crashes = self.services.get(service)
        if crashes is None or crashes.last is None:
            return None
        return crashes.last if self.clock.now() - crashes.last.at_ms < RAMP_MS else None

    def wait_ms(self, service: str, running: int, slots: int, rank: int) -> float:
        """Return in how many ms a service takes on a request of a rank; 0 is now.

        Args:
          running: requests at all its endpoints that are left.
          slots: requests that they work on at once; below that nothing waits.
          rank: 0 is the most urgent.
        """
        crash = self.recent(service)
        if crash is None or running < slots:
            return 0.0
        age_ms = self.clock.now() - crash.at_ms
        fraction = max(MIN_RANK_FRACTION, 1.0 - RANK_STEP * rank)
        wanted_fraction = (running + 1 - crash.elsewhere) / (fraction * max(1, crash.running))
        if wanted_fraction <= INITIAL_FRACTION:
            return 0.0
        ramp_ms = (wanted_fraction - INITIAL_FRACTION) / (1.0 - INITIAL_FRACTION) * RAMP_MS
        return max(0.0, min(float(RAMP_MS), ramp_ms) - age_ms)

    def retain(self, endpoints: set[str]) -> None:
        """Forget losses of endpoints that no longer exist."""
        for name in [name for name in self.losses if name not in endpoints]:
            del self.losses[name]
