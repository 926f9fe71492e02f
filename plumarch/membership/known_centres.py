"""All data centres that a node knows of, and the addresses at which to contact each again.

They outlive FleetView's peers, so that partitions that last longer than its retention heal.
"""

import dataclasses
import zlib
from collections.abc import Collection, Iterable

from plumarch.membership import tiers

REQUEST_INTERVAL_MS = 500
"""Initial interval of requests to the seniors of an unreachable data centre."""

MAX_REQUEST_INTERVAL_MS = 2_000
"""Maximum interval; short enough that one lost request does not delay contact for too long."""

REQUESTS_PER_DOUBLING = 8
"""Number of requests while the time since the last contact doubles."""

RETENTION_MS = 3_600_000
"""A data centre that was not seen for this long is dropped; it may rejoin by its own seeds."""


@dataclasses.dataclass(slots=True)
class KnownCentre:
    """A data centre, or a single seed of which only the address is known.

    Attributes:
      seniors: its last reported seniors.
      since_ms: when it was last seen, or first reported if it never was.
      last_request_ms: when the last request was sent to its seniors.
      ever_seen: whether it was ever seen.
    """

    seniors: tuple[tiers.Senior, ...]
    since_ms: int
    last_request_ms: int = 0
    ever_seen: bool = False

    def is_due(self, now: int) -> bool:
        """Return whether a request is due, if it is unreachable."""
        pause = min(
            MAX_REQUEST_INTERVAL_MS,
            max(REQUEST_INTERVAL_MS, (now - self.since_ms) // REQUESTS_PER_DOUBLING),
        )
        return now - self.last_request_ms >= pause


@dataclasses.dataclass(slots=True)
class KnownCentres:
    """All known data centres and seeds.

    Attributes:
      centres: by name; the own one too, after the loss of nodes in it.
      seeds: by address, as long as the settings list them.
    """

    centres: dict[str, KnownCentre] = dataclasses.field(default_factory=dict)
    seeds: dict[str, KnownCentre] = dataclasses.field(default_factory=dict)

    def mark_seen(self, name: str, seniors: tuple[tiers.Senior, ...], now: int) -> None:
        """Record a message from a data centre."""
        last_request_ms = self.centres[name].last_request_ms if name in self.centres else 0
        self.centres[name] = KnownCentre(seniors, now, last_request_ms, ever_seen=True)

    def refresh_seen(self, names: Iterable[str], now: int) -> None:
        """Record that nodes of known data centres are alive, where these send no summaries."""
        for name in names:
            if name in self.centres:
                self.centres[name].since_ms = now

    def reported(self, name: str, seniors: tuple[tiers.Senior, ...], now: int) -> bool:
        """Record what another node reports about an unreachable data centre.

        Returns:
          Whether the report names a new address.
        """
        known = self.centres.get(name)
        if known is None:
            self.centres[name] = KnownCentre(seniors, now)
            return True
        has_new = not set(seniors) <= set(known.seniors)
        known.seniors = seniors
        return has_new

    def remember(self, name: str, senior: tiers.Senior, last_seen_ms: int) -> None:
        """Record a node that is dropped from the fleet's view."""
        known = self.centres.setdefault(name, KnownCentre((), last_seen_ms, ever_seen=True))
        if senior not in known.seniors and len(known.seniors) < tiers.SENIORS:
            known.seniors = (*known.seniors, senior)

    def replace_seeds(self, addresses: Collection[str], now: int) -> None:
        """Replace the seeds by the current list."""
        for address in self.seeds.keys() - set(addresses):
            del self.seeds[address]
        for address in addresses:
            self.add_seed(address, now)

    def add_seed(self, address: str, now: int) -> None:
        """Add a seed. Its first request is due later, as heartbeats go there from the start."""
        senior = tiers.Senior(tiers.Seniority(0, address), address)
        self.seeds.setdefault(address, KnownCentre((senior,), now, last_request_ms=now))

    def due_addresses(self, live: Collection[str], known: Collection[str], now: int) -> set[str]:
        """Return the addresses to which a request is due, and record it as sent.

        Args:
          live: the reachable data centres.
          known: addresses of nodes in one of them.
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
        """Return the names of the data centres that are known and not reachable."""
        return sorted(name for name in self.centres if name not in live)


def digest(names: Iterable[str]) -> int:
    """Return a checksum of a set of data centres, never 0."""
    return zlib.crc32("\n".join(sorted(names)).encode()) or 1
