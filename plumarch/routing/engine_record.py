"""What an engine is expected to hold: parts of prompts that this node sent to it, and for what
this node never sent, those that all nodes send to it by rendezvous hashing.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from plumarch.core import hashing, traffic

MAX_PARTS = 4_000
"""Parts remembered for each engine; it bounds what a node holds for it."""


@dataclasses.dataclass(slots=True)
class EngineRecord:
    """Parts that this node sent to an engine, least recently used first."""

    parts: collections.OrderedDict[int, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def sent(self, key: int, now: int) -> None:
        """Remember a part."""
        self.parts[key] = now
        self.parts.move_to_end(key)
        if len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def known(self, keys: Sequence[int]) -> int:
        """Return how many parts of a prompt were sent to it, counted from the prompt's start.

        Args:
          keys: of the prompt's parts, each standing for its part and all before it.
        """
        return max((at + 1 for at, key in enumerate(keys) if key in self.parts), default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What an engine has to read.

    Attributes:
      parts: in order; the last one may be the request's own.
      keys: of the parts, each standing for its part and all before it.
      tokens: of the whole prompt.
      owners: for each part that others may share, the engines of a region to which its nodes send
        it, the first one first.
    """

    parts: Sequence[traffic.PromptPart]
    keys: Sequence[int]
    tokens: int
    owners: Sequence[Sequence[str]]


def owners(
    candidates: Iterable[traffic.Endpoint], keys: Sequence[int], count: int
) -> list[list[str]]:
    """Return for each key the engines to which all nodes send it, the first one first.

    An engine that started again owns what it owned before: what the others hold stays there.
    """
    ids = {endpoint.called(): endpoint.id for endpoint in candidates}
    names = list(ids)
    return [[ids[name] for name in hashing.highest(key, names, count)] for key in keys]


def cached_tokens(
    endpoint: str, record: EngineRecord | None, prompt: Prompt, likely_fractions: Sequence[float]
) -> float:
    """Return the tokens that an engine is expected to hold from the prompt's start.

    An engine that holds a part holds all parts before it.

    Args:
      record: what this node sent to it.
      likely_fractions: fraction of an unsent prefix that each owner is expected to hold, the
        first owner's first.
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
