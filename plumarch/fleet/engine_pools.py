"""Where endpoints of a service run: kinds by data centre, orders given, and even spreading."""

import dataclasses
from collections.abc import Iterable

from plumarch.core import traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A kind of endpoint in a data centre."""

    data_centre: str
    spot: bool


@dataclasses.dataclass(slots=True)
class LastOrder:
    """The last order for a place.

    Attributes:
      refused: whether the platform had none.
      max_ready: the most endpoints that were ready there since.
    """

    count: int
    at_ms: int
    refused: bool = False
    max_ready: int = 0


def spread(total: int, scaling: traffic.Scaling) -> dict[str, int]:
    """Spread a number evenly over the data centres, the cheapest first, within the limits."""
    names = sorted(scaling.prices, key=lambda name: (scaling.prices[name], name))
    counts = dict.fromkeys(names, 0)
    for _ in range(total):
        open_names = [name for name in names if counts[name] < scaling.maximum]
        if not open_names:
            break
        counts[min(open_names, key=lambda name: counts[name])] += 1
    return counts


def ready(service: str, endpoints: Iterable[traffic.Endpoint]) -> dict[Pool, int]:
    """Return how many endpoints of a service take new work, by place."""
    found: dict[Pool, int] = {}
    for endpoint in endpoints:
        if endpoint.service == service and endpoint.state is traffic.EndpointState.READY:
            pool = Pool(endpoint.data_centre, endpoint.spot)
            found[pool] = found.get(pool, 0) + 1
    return found
