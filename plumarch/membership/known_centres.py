"""The data centres that a node has ever been told of, heard or not, and whom to ask about each.

What a node hears is forgotten after some silence, and counts until then among the fleet. What is
kept here never counts: it only says whom to ask again, so that those that were cut off for long or
learned of each other through a third one find each other.
"""

import dataclasses
import zlib
from collections.abc import Collection, Iterable

from plumarch.membership import tiers

REQUEST_INTERVAL_MS = 500
"""How often the elders of a data centre that is not heard are asked at first."""

MAX_REQUEST_INTERVAL_MS = 2_000
"""How often at least, however long the silence: under half of the time within which nodes are to
know each other again, so that one loss does not matter."""

REQUESTS_PER_DOUBLING = 8
"""Elders are asked so many times while the silence doubles, until they are asked most seldom."""

RETENTION_MS = 3_600_000
"""A data centre that is silent for an hour was given up, or comes back by its own seeds."""


@dataclasses.dataclass(slots=True)
class KnownCentre:
    """A data centre, or a single seed of which only the address is known.

    Attributes:
      seniors: its oldest live nodes as they were told last.
      since_ms: when it was heard last, or learned of if it never was.
      last_request_ms: when its elders were asked last.
      ever_seen: whether it was ever seen.
    """

    seniors: tuple[tiers.Senior, ...]
    since_ms: int
    last_request_ms: int = 0
    ever_seen: bool = False

    def is_due(self, now: int) -> bool:
        """Return whether its elders are to be asked, if it is not heard now."""
        pause = min(
            MAX_REQUEST_INTERVAL_MS,
            max(REQUEST_INTERVAL_MS, (now - self.since_ms) // REQUESTS_PER_DOUBLING),
        )
        return now - self.last_request_ms >= pause


@dataclasses.dataclass(slots=True)
class KnownCentres:
    """All data centres that are known, the own one where its nodes were lost, and the seeds.

    Attributes:
      centres: by name.
      seeds: by address; they are asked for as long as the settings name them.
    """

    centres: dict[str, KnownCentre] = dataclasses.field(default_factory=dict)
    seeds: dict[str, KnownCentre] = dataclasses.field(default_factory=dict)

    def mark_seen(self, name: str, seniors: tuple[tiers.Senior, ...], now: int) -> None:
        """Note that a data centre told of itself."""
        last_request_ms = self.centres[name].last_request_ms if name in self.centres else 0
        self.centres[name] = KnownCentre(seniors, now, last_request_ms, ever_seen=True)

    def refresh_seen(self, names: Iterable[str], now: int) -> None:
        """Note data centres that are heard by their nodes, and not by sums that they tell."""
        for name in names:
            if name in self.centres:
                self.centres[name].since_ms = now

    def reported(self, name: str, seniors: tuple[tiers.Senior, ...], now: int) -> bool:
        """Note what another one tells of a data centre that is not heard.

        Returns:
          Whether somebody new may be asked.
        """
        known = self.centres.get(name)
        if known is None:
            self.centres[name] = KnownCentre(seniors, now)
            return True
        is_news = not set(seniors) <= set(known.seniors)
        known.seniors = seniors
        return is_news

    def remember(self, name: str, senior: tiers.Senior, last_seen_ms: int) -> None:
        """Note a node that was heard itself, at some time, and is counted no more."""
        known = self.centres.setdefault(name, KnownCentre((), last_seen_ms, ever_seen=True))
        if senior not in known.seniors and len(known.seniors) < tiers.SENIORS:
            known.seniors = (*known.seniors, senior)

    def replace_seeds(self, addresses: Collection[str], now: int) -> None:
        """Note the addresses that this node is given now, in place of those before."""
        for address in self.seeds.keys() - set(addresses):
            del self.seeds[address]
        for address in addresses:
            self.add_seed(address, now)

    def add_seed(self, address: str, now: int) -> None:
        """Note an address that this node was given; heartbeats are sent there at first anyway."""
        senior = tiers.Senior(tiers.Seniority(0, address), address)
        self.seeds.setdefault(address, KnownCentre((senior,), now, last_request_ms=now))

    def due_addresses(self, live: Collection[str], heard: Collection[str], now: int) -> set[str]:
        """Return the addresses to ask now, which count as asked from then on.

        Args:
          live: the data centres that are heard.
          heard: addresses of nodes that are in one of them.
        """
        for name in [
            one for one, kept in self.centres.items() if now - kept.since_ms > RETENTION_MS
        ]:
            del self.centres[name]
        silent = [one for name, one in self.centres.items() if name not in live]
        silent += [one for address, one in self.seeds.items() if address not in heard]
        due = [one for one in silent if one.is_due(now)]
        for one in due:
            one.last_request_ms = now
        return {senior.address for one in due for senior in one.seniors}

    def unreachable(self, live: Collection[str]) -> list[str]:
        """Return the names of the data centres that are known and not heard."""
        return sorted(name for name in self.centres if name not in live)


def digest(names: Iterable[str]) -> int:
    """Return a number that tells two sets of data centres apart, never 0."""
    return zlib.crc32("\n".join(sorted(names)).encode()) or 1
