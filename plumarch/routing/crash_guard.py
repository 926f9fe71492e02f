"""Limits what the other endpoints of a service are given after one of them crashed.

Its load is repeated at once and may crash the next one, so it is admitted gradually, urgent
requests first. The load that caused the crash becomes a limit for the others.
"""

import dataclasses

from plumarch.core import clock
from plumarch.routing import concurrency_limit

INITIAL_FRACTION = 0.25
"""Fraction of a crashed endpoint's requests that the others may take on at once."""

UNLIMITED_PEERS = 16
"""With this many other endpoints the whole load is admitted at once."""

RAMP_MS = 4_000
"""Time over which the rest is admitted."""

RANK_STEP = 0.05
"""Fraction of the admitted load that each rank leaves to the more urgent ones."""

MIN_RANK_FRACTION = 0.5
"""The least urgent ranks still get this fraction."""

LOSS_WINDOW_MS = 250
"""Connections lost within this time count as lost together; a crash ends all at once."""

CRASH_LOSSES = 2
"""Connections lost together that count as a crash; one alone may be caused by its request."""

MAX_LESSONS = 32
"""Crashes of a service of which the lessons are kept."""


@dataclasses.dataclass(slots=True)
class Losses:
    """Connections that one endpoint lost recently.

    Attributes:
      running: requests at the endpoint at `first_ms`.
      weight: their weight, in tokens.
    """

    first_ms: int
    running: int
    weight: float
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an endpoint.

    Attributes:
      weight: of its running requests, in tokens.
      elsewhere: requests at the service's other endpoints then.
    """

    endpoint: str
    at_ms: int
    running: int
    weight: float
    slots: int
    elsewhere: int

    def by_count(self) -> bool:
        """Return whether it had more requests than slots."""
        return self.running > self.slots


@dataclasses.dataclass(frozen=True, slots=True)
class Lesson:
    """Limits learned from one crash under more load than endpoints regularly sustain.

    Attributes:
      per_slot: maximum requests for each slot of an endpoint, or None.
      weight: maximum weight of an endpoint's requests, in tokens, or None.
    """

    crash: Crash
    per_slot: float | None
    weight: float | None


@dataclasses.dataclass(slots=True)
class ServiceCrashes:
    """Limits learned from crashes of one service.

    Attributes:
      lessons: the newest last; the last limit of each kind applies.
      max_sustained_weight: greatest weight under which an endpoint answered.
    """

    lessons: list[Lesson] = dataclasses.field(default_factory=list)
    max_sustained_weight: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashGuard:
    """Crashes by service, and the lost connections that reveal them."""

    clock: clock.Clock
    services: dict[str, ServiceCrashes] = dataclasses.field(default_factory=dict)
    losses: dict[str, Losses] = dataclasses.field(default_factory=dict)

    def lost(self, endpoint: str, running: int, weight: float) -> Losses | None:
        """Count a connection that ended while its request ran.

        Args:
          running: requests at the endpoint, including this one.
        Returns:
          The losses once they amount to a crash; each crash is returned once.
        """
        now = self.clock.now()
        losses = self.losses.get(endpoint)
        if losses is None or now - losses.first_ms > LOSS_WINDOW_MS:
            losses = self.losses[endpoint] = Losses(now, running, weight)
        losses.count += 1
        return losses if losses.count == CRASH_LOSSES else None

    def connect_failed(self, endpoint: str) -> Losses | None:
        """Handle a failed connect to an endpoint.

        Returns:
          The losses if a connection was lost just before, which makes it a crash.
        """
        losses = self.losses.get(endpoint)
        if losses is None or losses.count >= CRASH_LOSSES:
            return None
        if self.clock.now() - losses.first_ms > LOSS_WINDOW_MS:
            return None
        losses.count = CRASH_LOSSES
        return losses

    def note_answer(self, endpoint: str) -> None:
        """Handle an answer: earlier losses of the endpoint were no crash."""
        self.losses.pop(endpoint, None)

    def observe_load(self, service: str, weight: float) -> None:
        """Record the weight of the requests at an endpoint that answered."""
        crashes = self.services.setdefault(service, ServiceCrashes())
        crashes.max_sustained_weight = max(weight, crashes.max_sustained_weight)

    def crashed(self, service: str, crash: Crash) -> None:
        """Learn limits from a crash.

        A crash under regularly sustained load teaches nothing.
        """
        crashes = self.services.setdefault(service, ServiceCrashes())
        by_weight = crash.weight > crashes.max_sustained_weight > 0
        if not crash.by_count() and not by_weight:
            return
        per_slot = weight = None
        if crash.by_count():
            per_slot = concurrency_limit.DECREASE * crash.running / max(1, crash.slots)
        if by_weight:
            weight = max(crashes.max_sustained_weight, concurrency_limit.DECREASE * crash.weight)
        lessons = [*crashes.lessons, Lesson(crash, per_slot, weight)]
        crashes.lessons = lessons[-MAX_LESSONS:]

    def retract(self, service: str, endpoint: str, since_ms: int) -> bool:
        """Drop what was learned from an endpoint's crashes, as it lives.

        Args:
          since_ms: earlier crashes remain.
        Returns:
          Whether there was one.
        """
        crashes = self.services.get(service)
        if crashes is None:
            return False
        before = len(crashes.lessons)
        crashes.lessons = [
            one
            for one in crashes.lessons
            if one.crash.endpoint != endpoint or one.crash.at_ms < since_ms
        ]
        return len(crashes.lessons) < before

    def per_slot(self, service: str) -> float | None:
        """Return the maximum of requests per slot, at least 1, or None."""
        found = (one.per_slot for one in reversed(self._lessons(service)))
        per_slot = next((one for one in found if one is not None), None)
        return max(1.0, per_slot) if per_slot is not None else None

    def weight(self, service: str) -> float | None:
        """Return the maximum weight of an endpoint's requests, or None."""
        found = (one.weight for one in reversed(self._lessons(service)))
        weight = next((one for one in found if one is not None), None)
        if weight is None:
            return None
        return max(weight, self.services[service].max_sustained_weight)

    def _lessons(self, service: str) -> list[Lesson]:
        """Return a service's lessons; all lapse some time after the last one."""
        crashes = self.services.get(service)
        if crashes is None or not crashes.lessons:
            return []
        age_ms = self.clock.now() - crashes.lessons[-1].crash.at_ms
        if age_ms >= concurrency_limit.CRASH_RETENTION_MS:
            crashes.lessons = []
        return crashes.lessons

    def recent(self, service: str) -> Crash | None:
        """Return the last crash of a service while its load is being admitted."""
        crashes = self.services.get(service)
        if crashes is None or not crashes.lessons:
            return None
        last = crashes.lessons[-1].crash
        return last if self.clock.now() - last.at_ms < RAMP_MS else None

    def wait_ms(self, service: str, running: int, slots: int, rank: int) -> float:
        """Return in how many ms a service takes on a request of a rank; 0 is now.

        Args:
          running: requests at all its remaining endpoints.
          slots: of these endpoints; below that nothing waits.
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
