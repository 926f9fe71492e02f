"""All known data centres, and where to contact each again.

They outlive FleetView's peers, so that longer partitions heal.
"""

import dataclasses
import zlib
from collections.abc import Collection, Iterable

from plumarch.membership import tiers

REQUEST_INTERVAL_MS = 500
"""Initial interval of requests to an unreachable data centre."""

MAX_REQUEST_INTERVAL_MS = 2_000
"""Maximum interval; one lost request must not delay contact for long."""

REQUESTS_PER_DOUBLING = 8
"""Requests while the time since the last contact doubles."""

RETENTION_MS = 3_600_000
"""A data centre unseen for this long is dropped; it may rejoin by its seeds."""


@dataclasses.dataclass(slots=True)
class KnownCentre:
    """A data centre, or a seed of which only the address is known.

    Attributes:
      since_ms: when last seen, or first reported if never seen.
      last_request_ms: last request to its seniors.
    """

    seniors: tuple[tiers.Senior, ...]
    since_ms: int
    last_request_ms: int = 0
    ever_seen: bool = False

    def is_due(self, now: int) -> bool:
        """Return whether a request is due while unreachable."""
        pause = min(
            MAX_REQUEST_INTERVAL_MS,
            max(REQUEST_INTERVAL_MS, (now - self.since_ms) // REQUESTS_PER_DOUBLING),
        )
        return now - self.last_request_ms >= pause


@dataclasses.dataclass(slots=True)
class KnownCentres:
    """All known data centres and seeds.

    Attributes:
      centres: by name; the own one too, after it lost nodes.
      seeds: by address, while the settings list them.
    """

    centres: dict[str, KnownCentre] = dataclasses.field(default_factory=dict)
    seeds: dict[str, KnownCentre] = dataclasses.field(default_factory=dict)

    def mark_seen(self, name: str, seniors: tuple[tiers.Senior, ...], now: int) -> None:
        """Record a message from a data centre."""
        last_request_ms = self.centres[name].last_request_ms if name in self.centres else 0
        self.centres[name] = KnownCentre(seniors, now, last_request_ms, ever_seen=True)

    def refresh_seen(self, names: Iterable[str], now: int) -> None:
        """Record that known data centres that send no summaries are alive."""
        for name in names:
            if name in self.centres:
                self.centres[name].since_ms = now

    def reported(self, name: str, seniors: tuple[tiers.Senior, ...], now: int) -> bool:
        """Record a report on an unreachable data centre; return whether it names a new address."""
        known = self.centres.get(name)
        if known is None:
            self.centres[name] = KnownCentre(seniors, now)
            return True
        has_new = not set(seniors) <= set(known.seniors)
        known.seniors = seniors
        return has_new

    def remember(self, name: str, senior: tiers.Senior, last_seen_ms: int) -> None:
        """Record a node dropped from the fleet's view."""
        known = self.centres.setdefault(name, KnownCentre((), last_seen_ms, ever_seen=True))
        if senior not in known.seniors and len(known.seniors) < tiers.SENIORS:
            known.seniors = (*known.seniors, senior)

    def replace_seeds(self, addresses: Collection[str], now: int) -> None:
        """Replace the seeds."""
        for address in self.seeds.keys() - set(addresses):
            del self.seeds[address]
        for address in addresses:
            self.add_seed(address, now)

    def add_seed(self, address: str, now: int) -> None:
        """Add a seed; its first request is due later, as heartbeats go there already."""
        senior = tiers.Senior(tiers.Seniority(0, address), address)
        self.seeds.setdefault(address, KnownCentre((senior,), now, last_request_ms=now))

    def due_addresses(self, live: Collection[str], known: Collection[str], now: int) -> set[str]:
        """Return addresses to which a request is due, and record it as sent.

        Args:
          live: reachable data centres.
          known: addresses of their nodes.
        """
        for name in [
            one for one, kept in self.centres.items() if now - kept.since_ms > RETENTION_MS
        ]:
            del self.centres[name]
        unreachable = [one for name, one in self.centres.items() if name not in live]
        unreachable += [one for address, one in self.seeds.items() if address not in known]
        due = [one for one in unreachable if one.is_due(now)]
        for one in due:
            one.last_request_ms = now
        return {senior.address for one in due for senior in one.seniors}

    def unreachable(self, live: Collection[str]) -> list[str]:
        """Return the known data centres that are unreachable."""
        return sorted(name for name in self.centres if name not in live)


def digest(names: Iterable[str]) -> int:
    """Return a checksum of data centres, never 0."""
    return zlib.crc32("\n".join(sorted(names)).encode()) or 1
