"""Estimates which prompt parts an engine has cached.

Parts that this node sent are known; others are assumed at the engines that rendezvous hashing
selects.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from plumarch.core import hashing, traffic

MAX_PARTS = 4_000
"""Parts recorded for each engine."""


@dataclasses.dataclass(slots=True)
class EngineRecord:
    """Parts that this node sent to an engine, least recently used first."""

    parts: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def sent(self, key: int, now: int) -> None:
        """Record a part."""
        self.parts[key] = now
        self.parts.move_to_end(key)
        if len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def known(self, keys: Sequence[int]) -> int:
        """Return how many leading parts of a prompt were sent to the engine.

        Args:
          keys: each stands for its part and all before it.
        """
        return max((at + 1 for at, key in enumerate(keys) if key in self.parts), default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as an engine reads it.

    Attributes:
      parts: in order; the last one may be the request's own.
      keys: each stands for its part and all before it.
      tokens: of the complete prompt.
      owners: engines of a region that hashing selects for each part that others may share.
    """

    parts: Sequence[traffic.PromptPart]
    keys: Sequence[int]
    tokens: int
    owners: Sequence[Sequence[str]]


def owners(
    candidates: Iterable[traffic.Endpoint], keys: Sequence[int], count: int
) -> list[list[str]]:
    """Return for each key the engines that hashing selects, the first choice first.

    Hashing uses the name, so that a restarted engine owns the same keys and the others keep theirs.
    """
    ids = {endpoint.stable_name(): endpoint.id for endpoint in candidates}
    names = list(ids)
    return [[ids[name] for name in hashing.rendezvous_top(key, names, count)] for key in keys]


def cached_tokens(
    endpoint: str, record: EngineRecord | None, prompt: Prompt, likely_fractions: Sequence[float]
) -> float:
    """Return the tokens that an engine is expected to have cached from the prompt's start.

    An engine that has a part has all parts before it.

    Args:
      likely_fractions: fraction of an unsent prefix that each owner is expected to hold.
    """
    known = record.known(prompt.keys) if record is not None else 0
    certain = sum(part.tokens for part in prompt.parts[:known])
    likely = 0.0
    tokens = 0
    for part, owning in zip(prompt.parts[known:], prompt.owners[known:], strict=False):
        tokens += part.tokens
        if endpoint in owning:
            likely = max(likely, likely_fractions[owning.index(endpoint)] * tokens)
    return certain + likely
