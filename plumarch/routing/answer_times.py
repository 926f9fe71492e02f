"""Detects answers that take far longer than expected."""

import dataclasses

from plumarch.routing import engine_speed

SLOW_FACTOR = 2.0
"""A first event is slow above this multiple of the time to read the whole prompt (a new engine has
nothing cached) and the queue ahead."""

SLOW_PLAIN_FACTOR = 2.5
"""The same for a plain answer, against the mean of its route."""

KNOWN_AFTER = 5
"""Answers of a route before its mean is used."""


@dataclasses.dataclass(slots=True)
class AnswerTimes:
    """Mean answer times of plain routes, over the versions already in service."""

    by_route: dict[str, engine_speed.RunningMean] = dataclasses.field(default_factory=dict)

    def observe(self, route: str, took_ms: float) -> None:
        """Record the time of a successful answer."""
        mean = self.by_route.get(route)
        if mean is None:
            mean = self.by_route[route] = engine_speed.RunningMean(took_ms)
        mean.observe(took_ms)

    def is_slow(self, route: str, took_ms: float) -> bool:
        """Return whether a plain answer was slow."""
        mean = self.by_route.get(route)
        if mean is None or mean.seen < KNOWN_AFTER:
            return False
        return took_ms > SLOW_PLAIN_FACTOR * mean.value


def is_slow_first_event(
    speed: engine_speed.EngineSpeed, tokens: float, capacity_wait_ms: float, took_ms: float
) -> bool:
    """Return whether a first event was slow.

    Args:
      tokens: of the whole prompt and of what was queued before it.
    """
    usual_ms = speed.base_ms.value + speed.reading_ms(tokens) + capacity_wait_ms
    return took_ms > SLOW_FACTOR * usual_ms
