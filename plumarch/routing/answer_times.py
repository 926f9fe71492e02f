"""How long answers take, and whether one took far longer than it should."""

import dataclasses

from plumarch.routing import engine_speed

SLOW_FACTOR = 2.0
"""A first event that takes this many times as long as an engine typically needs to read the whole
prompt and what waits before it counts as far too late. The whole prompt, since a new engine holds
no part of it yet: a version four times as slow is told by prompts with little in common."""

SLOW_PLAIN_FACTOR = 2.5
"""The same for a plain request, against the mean of its route; times there vary more: 2 in 100
answers of lognormal times with a spread of 0.5 take longer."""

KNOWN_AFTER = 5
"""Answers of a route from which on its mean says something. A judgement."""


@dataclasses.dataclass(slots=True)
class AnswerTimes:
    """Mean times of plain routes, of the versions that serve already."""

    by_route: dict[str, engine_speed.RunningMean] = dataclasses.field(default_factory=dict)

    def observe(self, route: str, took_ms: float) -> None:
        """Take in how long a sound answer took."""
        mean = self.by_route.get(route)
        if mean is None:
            mean = self.by_route[route] = engine_speed.RunningMean(took_ms)
        mean.observe(took_ms)

    def is_slow(self, route: str, took_ms: float) -> bool:
        """Return whether a plain answer took far longer than usual on its route."""
        mean = self.by_route.get(route)
        if mean is None or mean.seen < KNOWN_AFTER:
            return False
        return took_ms > SLOW_PLAIN_FACTOR * mean.value


def is_slow_first_event(
    speed: engine_speed.EngineSpeed, tokens: float, capacity_wait_ms: float, took_ms: float
) -> bool:
    """Return whether a first event came far later than it should.

    Args:
      tokens: of the whole prompt and of what waited before it.
    """
    usual_ms = speed.base_ms.value + speed.reading_ms(tokens) + capacity_wait_ms
    return took_ms > SLOW_FACTOR * usual_ms
