"""How fast the engines of a service are, learned from the answers that pass through this node.

Two views of the time to the first token are kept. The typical one is the median over requests,
with all that held them up; by it engines are weighed against each other and the number of engines
is planned. The mean follows what callers get now, and says which request would come too late.
Medians are not moved by a few engines that are slow, cold or about to be reclaimed.
"""

import dataclasses
import math

START_MS_PER_TOKEN = 0.05
"""Time to read a prompt token before any was seen: between the slowest (0.031) and what those
show under load. A judgement; some twenty first tokens replace it."""

START_BASE_MS = 70.0
"""Time to the first token of an empty prompt before any was seen; a judgement as well."""

START_TOKENS = 1_000.0
"""Prompt tokens that the mean at the start stands for; the first observation replaces it."""

WEIGHT = 0.05
"""Weight of a new observation in a mean, once there are many; a judgement: some twenty requests
are what callers get now."""

LEAST_TOKENS = 800.0
"""Requests with less to read say how long a first token takes besides reading; those with more
say how long reading takes."""

LOWEST_MS_PER_TOKEN = 0.002
HIGHEST_MS_PER_TOKEN = 1.0
"""Between these a learned time to read a token stays, in ms: three times as fast as the fastest
engines on the sheets (0.0064), and far slower than any. Judgements against nonsense."""

LOWEST_BASE_MS = 5.0
HIGHEST_BASE_MS = 500.0
"""The same for the time to a first token; the sheets' engines take 26 ms and more."""

FIRST_STEP = 0.4
"""First step of a median on a logarithmic scale; steps shrink with each observation. A judgement:
some twenty observations lead from the start to engines eight times as fast (engine_speed_test)."""

LAST_STEP = 0.04
"""Smallest step of a median: 25 observations on one side move it by a factor of e. A judgement."""

KNOWN_AFTER = 20
"""First tokens of long prompts after which the typical speed is near enough: engines ten times
as fast as the start are then known within a third (engine_speed_test)."""

START_RUN_MS = 1_000.0
"""How long a request holds its place at an engine before any was seen to end; a judgement, and the
first one that ends replaces it."""


@dataclasses.dataclass(slots=True)
class RunningMedian:
    """A median that follows its observations, in steps of a logarithmic scale.

    Attributes:
      value: the median so far, positive, between lowest and highest.
      seen: observations so far.
    """

    value: float
    lowest: float
    highest: float
    seen: int = 0

    def observe(self, found: float) -> None:
        """Take in an observation."""
        self.seen += 1
        step = max(LAST_STEP, FIRST_STEP / math.sqrt(self.seen))
        moved = self.value * math.exp(step if found > self.value else -step)
        self.value = min(self.highest, max(self.lowest, moved))


@dataclasses.dataclass(slots=True)
class RunningMean:
    """A mean that follows its observations; the first ones weigh alike.

    Attributes:
      value: the mean so far, or the start before any observation.
      seen: observations so far.
    """

    value: float
    seen: int = 0

    def observe(self, found: float) -> None:
        """Take in an observation."""
        self.seen += 1
        self.value += max(WEIGHT, 1.0 / self.seen) * (found - self.value)


def _base() -> RunningMedian:
    return RunningMedian(START_BASE_MS, LOWEST_BASE_MS, HIGHEST_BASE_MS)


def _per_token() -> RunningMedian:
    return RunningMedian(START_MS_PER_TOKEN, LOWEST_MS_PER_TOKEN, HIGHEST_MS_PER_TOKEN)


def _read() -> RunningMean:
    return RunningMean(START_MS_PER_TOKEN * START_TOKENS)


def _tokens() -> RunningMean:
    return RunningMean(START_TOKENS)


def _run() -> RunningMean:
    return RunningMean(START_RUN_MS)


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """What is known of the engines of one service.

    Attributes:
      base_ms: typical time to the first token of a prompt with hardly anything to read.
      typical: ms to read a prompt token, typically.
      read_ms: what first tokens took besides the base, on average now.
      read_tokens: prompt tokens that were to be read for them, on average now.
      run_ms: how long a request holds its place, on average.
    """

    base_ms: RunningMedian = dataclasses.field(default_factory=_base)
    typical: RunningMedian = dataclasses.field(default_factory=_per_token)
    read_ms: RunningMean = dataclasses.field(default_factory=_read)
    read_tokens: RunningMean = dataclasses.field(default_factory=_tokens)
    run_ms: RunningMean = dataclasses.field(default_factory=_run)

    def first_token(self, tokens_to_read: float, first_ms: float) -> None:
        """Learn from a first token.

        Args:
          tokens_to_read: prompt tokens that were expected to be read before it.
          first_ms: how long it took since the request was sent.
        """
        if tokens_to_read < LEAST_TOKENS:
            self.base_ms.observe(max(1.0, first_ms - self.reading_ms(tokens_to_read)))
            return
        read_ms = max(0.0, first_ms - self.base_ms.value)
        self.typical.observe(read_ms / tokens_to_read)
        self.read_ms.observe(read_ms)
        self.read_tokens.observe(tokens_to_read)

    def mean_ms_per_token(self) -> float:
        """Return how long a prompt token takes on average now; long prompts weigh more."""
        mean = self.read_ms.value / max(1.0, self.read_tokens.value)
        return min(HIGHEST_MS_PER_TOKEN, max(LOWEST_MS_PER_TOKEN, mean))

    def ended(self, run_ms: float) -> None:
        """Learn from how long a request held its place."""
        self.run_ms.observe(run_ms)

    def known(self) -> bool:
        """Return whether enough was seen to plan by."""
        return self.typical.seen >= KNOWN_AFTER

    def reading_ms(self, tokens: float) -> float:
        """Return how long a number of prompt tokens typically takes to be read."""
        return self.typical.value * tokens

    def place_wait_ms(self, running: int, slots: int) -> float:
        """Return how long a request waits at an engine until a place there is free."""
        ahead = running + 1 - slots
        return ahead * self.run_ms.value / max(1, slots) if ahead > 0 else 0.0

    def expect_ms(self, tokens_to_read: float, place_wait_ms: float) -> float:
        """Return when a first token is expected, in ms from now, as callers get it now."""
        return self.base_ms.value + self.mean_ms_per_token() * tokens_to_read + place_wait_ms
