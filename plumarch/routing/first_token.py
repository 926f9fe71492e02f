"""When an engine's first token is expected, learned from the first tokens that were seen."""

import dataclasses

START_MS_PER_TOKEN = 0.05
BASE_MS = 70.0
WEIGHT = 0.05
"""Weight of a new observation."""

LEAST_TOKENS = 800.0
"""Requests with less to read say nothing about the time a token takes."""

LOWEST_MS_PER_TOKEN = 0.005
HIGHEST_MS_PER_TOKEN = 1.0


@dataclasses.dataclass(slots=True)
class FirstTokenEstimate:
    """The time that a prompt token takes to be read, with all that waits before it.

    Attributes:
      ms_per_token: learned.
    """

    ms_per_token: float = START_MS_PER_TOKEN

    def observe(self, cost_tokens: float, first_ms: float) -> None:
        """Learn from a first token.

        Args:
          cost_tokens: prompt tokens that were expected to be read before it.
          first_ms: how long it took since the request was sent.
        """
        if cost_tokens < LEAST_TOKENS:
            return
        seen = max(0.0, first_ms - BASE_MS) / cost_tokens
        learned = (1.0 - WEIGHT) * self.ms_per_token + WEIGHT * seen
        self.ms_per_token = min(HIGHEST_MS_PER_TOKEN, max(LOWEST_MS_PER_TOKEN, learned))

    def expect_ms(self, cost_tokens: float) -> float:
        """Return when the first token is expected, in ms from now."""
        return BASE_MS + self.ms_per_token * cost_tokens
