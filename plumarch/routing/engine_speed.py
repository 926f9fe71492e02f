"""Learns the speed of a service's engines from the answers that pass through this node.

The typical time per token compares engines; the idle one, which does not grow with the load, is for
planning; the mean follows current conditions.
"""

import bisect
import dataclasses
import math
from collections.abc import Callable

START_MS_PER_TOKEN = 0.05
"""Assumed time to read a prompt token before any observation, in ms."""

START_BASE_MS = 70.0
"""Assumed time to the first token of an empty prompt before any observation."""

START_TOKENS = 1_000.0
"""Prompt tokens that the initial mean stands for."""

WEIGHT = 0.05
"""Minimum weight of a new observation in a mean."""

MIN_TOKENS = 800.0
"""Shorter prompts give the base time of a first token, longer ones the time to read a token."""

MIN_MS_PER_TOKEN = 0.002
MAX_MS_PER_TOKEN = 1.0
"""Bounds of a learned time to read a token, in ms."""

MIN_BASE_MS = 5.0
MAX_BASE_MS = 500.0
"""Bounds of a learned base time to a first token."""

EXACT_MEDIAN_COUNT = 9
"""Observations of which a median is exact."""

MIN_STEP = 0.04
"""Smallest step of a median on a logarithmic scale."""

FIRST_STEP = 0.4

KNOWN_PER_NODE = 1.0
"""Mean first tokens per node from which the fleet's report is used, given KNOWN_AFTER in all."""

REPORT_RETENTION_MS = 10_000
"""A speed report counts for this long."""

KNOWN_AFTER = 20
"""First tokens of long prompts from which the speed counts as known."""

START_RUN_MS = 1_000.0
"""Assumed time that a request occupies a slot before any was seen to end."""


@dataclasses.dataclass(slots=True)
class RunningMedian:
    """A running median that moves in steps on a logarithmic scale.

    Attributes:
      value: the median so far, positive.
      first: the first observations, sorted.
    """

    value: float
    lowest: float
    highest: float
    seen: int = 0
    first: list[float] = dataclasses.field(default_factory=list)

    def observe(self, found: float) -> None:
        """Add an observation."""
        self.seen += 1
        if self.seen <= EXACT_MEDIAN_COUNT:
            bisect.insort(self.first, found)
            median = self.first[(self.seen - 1) // 2]
            self.value = min(self.highest, max(self.lowest, median))
            return
        step = max(MIN_STEP, FIRST_STEP / math.sqrt(self.seen))
        moved = self.value * math.exp(step if found > self.value else -step)
        self.value = min(self.highest, max(self.lowest, moved))


@dataclasses.dataclass(slots=True)
class RunningMean:
    """A running mean; the first observations weigh alike.

    Attributes:
      value: the mean so far, or the initial value.
    """

    value: float
    seen: int = 0

    def observe(self, found: float) -> None:
        """Add an observation."""
        self.seen += 1
        self.value += max(WEIGHT, 1.0 / self.seen) * (found - self.value)


def _base() -> RunningMedian:
    return RunningMedian(START_BASE_MS, MIN_BASE_MS, MAX_BASE_MS)


def _per_token() -> RunningMedian:
    return RunningMedian(START_MS_PER_TOKEN, MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)


def _read() -> RunningMean:
    return RunningMean(START_MS_PER_TOKEN * START_TOKENS)


def _tokens() -> RunningMean:
    return RunningMean(START_TOKENS)


def _run() -> RunningMean:
    return RunningMean(START_RUN_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedReport:
    """What one or several nodes learned of the engines of a service.

    Attributes:
      ms_per_token: time to read a prompt token where nothing waits.
      seen: first tokens of long prompts behind it.
      work: what they sent to the engines recently.
    """

    ms_per_token: float
    seen: float
    nodes: int
    work: "ReadingWork"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingWork:
    """Work sent to the engines of a service, decayed with time.

    Attributes:
      units: charged to quotas for requests of all services.
      unread: prompt tokens that the service's engines were expected to read.
    """

    units: float = 0.0
    unread: float = 0.0

    def plus(self, other: "ReadingWork") -> "ReadingWork":
        """Return the sum of both."""
        return ReadingWork(self.units + other.units, self.unread + other.unread)

    def unread_per_unit(self) -> float:
        """Return the tokens to read per unit charged; 1 before anything was sent."""
        return self.unread / self.units if self.units > 0 else 1.0


NO_WORK = ReadingWork()


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and when it was received."""

    report: SpeedReport
    at_ms: int


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """What is known of the engines of one service.

    Attributes:
      base_ms: typical time to the first token of a prompt with hardly anything to read.
      typical: ms to read a prompt token, typically.
      idle: the same where nothing waits at the engine.
      received: reports of others, by source.
      read_ms: mean time to a first token besides the base, recently.
      read_tokens: mean prompt tokens read before it, recently.
      run_ms: mean time that a request occupies a slot.
    """

    base_ms: RunningMedian = dataclasses.field(default_factory=_base)
    typical: RunningMedian = dataclasses.field(default_factory=_per_token)
    idle: RunningMedian = dataclasses.field(default_factory=_per_token)
    received: dict[str, ReceivedReport] = dataclasses.field(default_factory=dict)
    read_ms: RunningMean = dataclasses.field(default_factory=_read)
    read_tokens: RunningMean = dataclasses.field(default_factory=_tokens)
    run_ms: RunningMean = dataclasses.field(default_factory=_run)

    def first_token(self, tokens_to_read: float, first_ms: float, waited: bool = False) -> None:
        """Learn from a first token.

        Args:
          tokens_to_read: prompt tokens that were expected to be read before it.
          first_ms: time since the request was sent.
          waited: whether others waited at the engine when it was sent.
        """
        if tokens_to_read < MIN_TOKENS:
            self.base_ms.observe(max(1.0, first_ms - self.reading_ms(tokens_to_read)))
            return
        read_ms = max(0.0, first_ms - self.base_ms.value)
        self.typical.observe(read_ms / tokens_to_read)
        if not waited:
            self.idle.observe(read_ms / tokens_to_read)
        self.read_ms.observe(read_ms)
        self.read_tokens.observe(tokens_to_read)

    def mean_ms_per_token(self) -> float:
        """Return the recent mean time per prompt token; long prompts weigh more."""
        mean = self.read_ms.value / max(1.0, self.read_tokens.value)
        return min(MAX_MS_PER_TOKEN, max(MIN_MS_PER_TOKEN, mean))

    def ended(self, run_ms: float) -> None:
        """Record how long a request occupied a slot."""
        self.run_ms.observe(run_ms)

    def known(self) -> bool:
        """Return whether this node has enough observations of its own."""
        return self.typical.seen >= KNOWN_AFTER

    def receive(self, source: str, report: SpeedReport, now: int) -> None:
        """Store the report of a node or of the nodes of a data centre."""
        self.received[source] = ReceivedReport(report, now)

    def report(
        self,
        now: int,
        work: ReadingWork = NO_WORK,
        counts_in: Callable[[str], bool] = lambda source: True,
    ) -> SpeedReport:
        """Return the geometric mean of the own report and those received, by first tokens.

        Args:
          work: what this node sent.
          counts_in: whether the report of a source is included.
        """
        for name in [
            name for name, one in self.received.items() if now - one.at_ms > REPORT_RETENTION_MS
        ]:
            del self.received[name]
        own = SpeedReport(self.idle.value, self.idle.seen, 1, work)
        received = [one.report for name, one in self.received.items() if counts_in(name)]
        reports = [own, *received]
        seen = sum(one.seen for one in reports)
        nodes = sum(one.nodes for one in reports)
        for one in received:
            work = work.plus(one.work)
        if not seen:
            return SpeedReport(self.idle.value, 0, nodes, work)
        logs = sum(one.seen * math.log(one.ms_per_token) for one in reports)
        return SpeedReport(math.exp(logs / seen), seen, nodes, work)

    def planned(self, now: int, work: ReadingWork = NO_WORK) -> SpeedReport | None:
        """Return the average to plan by, or None while there are too few observations."""
        report = self.report(now, work)
        is_known = self.idle.seen >= KNOWN_AFTER or (
            report.seen >= KNOWN_AFTER and report.seen >= KNOWN_PER_NODE * report.nodes
        )
        return report if is_known else None

    def reading_ms(self, tokens: float) -> float:
        """Return the typical time to read a number of prompt tokens."""
        return self.typical.value * tokens

    def capacity_wait_ms(self, running: int, slots: int) -> float:
        """Return how long a request waits at an engine until a slot is free."""
        ahead = running + 1 - slots
        return ahead * self.run_ms.value / max(1, slots) if ahead > 0 else 0.0

    def expect_ms(self, tokens_to_read: float, capacity_wait_ms: float) -> float:
        """Return the time to a first token that is expected under current conditions, in ms."""
        return self.base_ms.value + self.mean_ms_per_token() * tokens_to_read + capacity_wait_ms
