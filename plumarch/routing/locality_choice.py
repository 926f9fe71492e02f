"""Whether a request leaves its region, and where it goes then.

A request stays in its region while that answers soon enough. It leaves where the region has no
endpoint with room, or where another region is expected to answer sooner, the way included. All
nodes of a region see the same figures, some of them old; if each followed them to the letter, all
would leave at once, to one endpoint, and all come back. So only a part leaves, the larger the
more is gained, and it is spread at random over the endpoints that are about equally good.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from plumarch.core import hashing, traffic
from plumarch.routing import distance

MIN_GAIN = 0.2
"""Part of the expected time that must be gained before a request leaves its region: learned times
are not surer than that, and bytes between regions are dear."""

MAX_SPILL_FRACTION = 0.5
"""Part of the requests that leave at most while the region answers in time: what is taken away
shows in the figures a second later only, and the region's endpoints stay in use until then."""

MIN_SPARE_FRACTION = 0.25
"""Part of an endpoint's slots that must be free for spill-over to it: they are kept for callers of
its own region, so that one region's load doesn't make the next one spill over in turn."""

EQUAL_MARGIN = 0.25
"""Endpoints expected within this part more than the best count as equally good."""


class LeaveReason(enum.Enum):
    """Why a request leaves its region."""

    NO_LOCAL_CAPACITY = "no_room_near"
    REMOTE_FASTER = "nearer_slower"


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a request asks of its endpoint.

    Attributes:
      time_left_ms: until it is given up.
      enough_ms: an answer expected within this is soon enough; the caller gains nothing by a
        sooner one.
      late_ms: an answer expected after this counts as late.
      repeated: whether an endpoint failed it before.
    """

    time_left_ms: float = math.inf
    enough_ms: float = 0.0
    late_ms: float = math.inf
    repeated: bool = False


ANY_TERMS = Terms()


class Option(Protocol):
    """An endpoint that a request may go to."""

    @property
    def endpoint(self) -> traffic.Endpoint:
        """The endpoint."""
        ...

    @property
    def expected_ms(self) -> float:
        """When an answer is expected, with the way."""
        ...

    @property
    def network_ms(self) -> float:
        """What of it is spent on the way to another region."""
        ...

    @property
    def free_slots(self) -> int:
        """Slots there that nothing is known to take."""
        ...


AnyOption = TypeVar("AnyOption", bound=Option)


def local_and_remote(
    candidates: Sequence[traffic.Endpoint], distances: distance.Distances | None
) -> tuple[Sequence[traffic.Endpoint], Sequence[traffic.Endpoint]]:
    """Return the endpoints of the own region, and all others."""
    if distances is None or not distances.regions:
        return candidates, ()
    local: list[traffic.Endpoint] = []
    remote: list[traffic.Endpoint] = []
    own = distances.own_region()
    for one in candidates:
        (local if distances.region_of(one.data_centre) == own else remote).append(one)
    return local, remote


def by_region(
    candidates: Iterable[traffic.Endpoint], distances: distance.Distances | None
) -> list[list[traffic.Endpoint]]:
    """Return endpoints, each region's together."""
    regions: dict[str, list[traffic.Endpoint]] = {}
    for one in candidates:
        region = distances.region_of(one.data_centre) if distances is not None else ""
        regions.setdefault(region, []).append(one)
    return list(regions.values())


def stays_local(
    best: Option | None, remote: Sequence[traffic.Endpoint], terms: Terms, seed: int
) -> bool:
    """Return whether the region's best endpoint is taken without a look at other regions.

    A repeated request stays as well, since the region has room. So do those that don't belong to
    the part that may leave, whatever the other regions have.
    """
    if not remote:
        return True
    if best is None:
        return False
    if terms.repeated and best.expected_ms <= terms.time_left_ms:
        return True
    if best.expected_ms > min(terms.late_ms, terms.time_left_ms):
        return False
    return best.expected_ms <= terms.enough_ms or _fraction(seed, "leaves") >= MAX_SPILL_FRACTION


def choose(
    best: AnyOption | None, remote: Iterable[AnyOption], terms: Terms, seed: int
) -> tuple[AnyOption | None, LeaveReason | None]:
    """Choose between the region's best endpoint and those of other regions.

    Args:
      best: the region's, or None if it has none with room.
      seed: differs for each request.
    Returns:
      The choice, and why it leaves the region if it does. There is no choice if the region has
      none and none elsewhere can answer in time.
    """
    in_time = [one for one in remote if one.expected_ms <= terms.time_left_ms]
    if best is None:
        return _draw(in_time, seed), LeaveReason.NO_LOCAL_CAPACITY
    spare = [one for one in in_time if _has_spare(one, terms)]
    if not spare:
        return best, None
    soonest_ms = min(one.expected_ms for one in spare)
    if _fraction(seed, "leaves") >= spill_fraction(best.expected_ms, soonest_ms, terms):
        return best, None
    return _draw(spare, seed), LeaveReason.REMOTE_FASTER


def _has_spare(option: Option, terms: Terms) -> bool:
    """Return whether an endpoint has more than callers of its own region need.

    Those must find free places, and be answered soon enough.
    """
    if option.free_slots <= MIN_SPARE_FRACTION * option.endpoint.slots:
        return False
    return not terms.enough_ms or option.expected_ms - option.network_ms <= terms.enough_ms


def spill_fraction(local_ms: float, remote_ms: float, terms: Terms) -> float:
    """Return the part of requests that leave the region.

    Args:
      local_ms: when an answer is expected from the region's best endpoint.
      remote_ms: when one is expected from the best of other regions.
    """
    gain = 1.0 - remote_ms / max(1.0, local_ms)
    if gain < MIN_GAIN:
        return 0.0
    if local_ms > min(terms.late_ms, terms.time_left_ms):
        return 1.0
    return min(MAX_SPILL_FRACTION, gain)


def _draw(options: Sequence[AnyOption], seed: int) -> AnyOption | None:
    """Return one of the about equally good options, drawn by their free places."""
    if not options:
        return None
    bound_ms = (1.0 + EQUAL_MARGIN) * min(one.expected_ms for one in options)
    equal = [one for one in options if one.expected_ms <= bound_ms]
    weights = [max(1, one.free_slots) for one in equal]
    point = _fraction(seed, "endpoint") * sum(weights)
    for one, weight in zip(equal, weights, strict=True):
        point -= weight
        if point < 0:
            return one
    return equal[-1]


def _fraction(seed: int, purpose: str) -> float:
    """Return a number from 0 to 1 that is a request's own for a purpose."""
    return hashing.digest(seed.to_bytes(8, "big"), purpose) / 2**64
