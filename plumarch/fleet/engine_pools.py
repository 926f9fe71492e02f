"""Pools of a service's endpoints, the last order for each, and even spreading."""

import dataclasses
from collections.abc import Iterable

from plumarch.core import traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The firm or the spot endpoints of a data centre."""

    data_centre: str
    spot: bool


@dataclasses.dataclass(slots=True)
class LastOrder:
    """The last order for a pool.

    Attributes:
      refused: whether the platform had no such endpoint.
      max_ready: highest number of ready endpoints since then.
    """

    count: int
    at_ms: int
    refused: bool = False
    max_ready: int = 0


def spread(total: int, scaling: traffic.Scaling) -> dict[str, int]:
    """Spread endpoints evenly over the data centres, cheapest first, within the limits."""
    names = sorted(scaling.prices, key=lambda name: (scaling.prices[name], name))
    counts = dict.fromkeys(names, 0)
    for _ in range(total):
        open_names = [name for name in names if counts[name] < scaling.maximum]
        if not open_names:
            break
        counts[min(open_names, key=lambda name: counts[name])] += 1
    return counts


def ready(service: str, endpoints: Iterable[traffic.Endpoint]) -> dict[Pool, int]:
    """Return the ready endpoints of a service by pool."""
    found: dict[Pool, int] = {}
    for endpoint in endpoints:
        if endpoint.service == service and endpoint.state is traffic.EndpointState.READY:
            pool = Pool(endpoint.data_centre, endpoint.spot)
            found[pool] = found.get(pool, 0) + 1
    return found
