"""How fast the engines of a service are, learned from the answers that pass through this node.

Three views of the time to the first token are kept. The typical one is the median over requests,
with all that held them up; by it engines are weighed against each other. The idle one is the
median over those that found nothing waiting; by it the number of engines is planned, since the
typical one grows with the very load that more engines would take away. The mean follows what
callers get now, and says which request would come too late. Medians are not moved by a few
engines that are slow, cold or about to be reclaimed.

One node of a large fleet sees a prompt or two in a second. Nodes tell one another what they
learned, and plans go by the mean of all.
"""

import bisect
import dataclasses
import math
from collections.abc import Callable

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

MIN_TOKENS = 800.0
"""Requests with less to read say how long a first token takes besides reading; those with more
say how long reading takes."""

MIN_MS_PER_TOKEN = 0.002
MAX_MS_PER_TOKEN = 1.0
"""Between these a learned time to read a token stays, in ms: three times as fast as the fastest
engines on the sheets (0.0064), and far slower than any. Judgements against nonsense."""

MIN_BASE_MS = 5.0
MAX_BASE_MS = 500.0
"""The same for the time to a first token; the sheets' engines take 26 ms and more."""

EXACT_MEDIAN_COUNT = 9
"""Observations of which a median is kept exactly; then it follows in steps. So a node knows the
speed of engines of any kind by its first prompts, and a fleet within seconds."""

MIN_STEP = 0.04
"""Smallest step of a median on a logarithmic scale: 25 observations on one side move it by a factor
of e. Steps shrink from 0.4 / 3 to it with the root of the observations. A judgement."""

FIRST_STEP = 0.4

KNOWN_PER_NODE = 1.0
"""First tokens that a node of a fleet saw on average, from which on what all learned is near
enough, if they are KNOWN_AFTER at least: engines of any speed are then known within a third
(engine_speed_test)."""

REPORT_RETENTION_MS = 10_000
"""What a node told of engines' speed counts for this long; a judgement: it is told each second."""

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
      first: the first observations, in order of size.
    """

    value: float
    lowest: float
    highest: float
    seen: int = 0
    first: list[float] = dataclasses.field(default_factory=list)

    def observe(self, found: float) -> None:
        """Take in an observation."""
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
      seen: first tokens of long prompts by which they learned it.
      nodes: how many nodes they are.
      work: what they gave engines to read lately.
    """

    ms_per_token: float
    seen: float
    nodes: int
    work: "ReadingWork"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingWork:
    """What was sent to the engines of a service lately, old sends counting less.

    Attributes:
      units: charged to allotments for requests of all services.
      unread: prompt tokens that the service's engines were expected to read.
    """

    units: float = 0.0
    unread: float = 0.0

    def plus(self, other: "ReadingWork") -> "ReadingWork":
        """Return the sum of both."""
        return ReadingWork(self.units + other.units, self.unread + other.unread)

    def unread_per_unit(self) -> float:
        """Return the tokens to read for each unit charged; 1 before anything was sent."""
        return self.unread / self.units if self.units > 0 else 1.0


NO_WORK = ReadingWork()


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report, and when it was heard."""

    report: SpeedReport
    at_ms: int


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """What is known of the engines of one service.

    Attributes:
      base_ms: typical time to the first token of a prompt with hardly anything to read.
      typical: ms to read a prompt token, typically.
      idle: the same where nothing waits at the engine.
      heard: what others told, by who told it.
      read_ms: what first tokens took besides the base, on average now.
      read_tokens: prompt tokens that were to be read for them, on average now.
      run_ms: how long a request holds its place, on average.
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
          first_ms: how long it took since the request was sent.
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
        """Return how long a prompt token takes on average now; long prompts weigh more."""
        mean = self.read_ms.value / max(1.0, self.read_tokens.value)
        return min(MAX_MS_PER_TOKEN, max(MIN_MS_PER_TOKEN, mean))

    def ended(self, run_ms: float) -> None:
        """Learn from how long a request held its place."""
        self.run_ms.observe(run_ms)

    def known(self) -> bool:
        """Return whether this node saw enough by itself."""
        return self.typical.seen >= KNOWN_AFTER

    def receive(self, source: str, report: SpeedReport, now: int) -> None:
        """Take in what a node or the nodes of a data centre learned."""
        self.received[source] = ReceivedReport(report, now)

    def report(
        self,
        now: int,
        work: ReadingWork = NO_WORK,
        counts_in: Callable[[str], bool] = lambda source: True,
    ) -> SpeedReport:
        """Return what this node and those that it heard learned, on average.

        Values are averaged on a logarithmic scale, each by the first tokens it rests on.

        Args:
          work: what this node sent.
          counts_in: whether what a source told is part of it.
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
        """Return what all learned, to plan by, or None while it isn't enough."""
        report = self.report(now, work)
        is_known = self.idle.seen >= KNOWN_AFTER or (
            report.seen >= KNOWN_AFTER and report.seen >= KNOWN_PER_NODE * report.nodes
        )
        return report if is_known else None

    def reading_ms(self, tokens: float) -> float:
        """Return how long a number of prompt tokens typically takes to be read."""
        return self.typical.value * tokens

    def capacity_wait_ms(self, running: int, slots: int) -> float:
        """Return how long a request waits at an engine until a place there is free."""
        ahead = running + 1 - slots
        return ahead * self.run_ms.value / max(1, slots) if ahead > 0 else 0.0

    def expect_ms(self, tokens_to_read: float, capacity_wait_ms: float) -> float:
        """Return when a first token is expected, in ms from now, as callers get it now."""
        return self.base_ms.value + self.mean_ms_per_token() * tokens_to_read + capacity_wait_ms
