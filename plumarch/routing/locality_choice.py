"""Decides whether a request leaves its region, and to which endpoint.

It leaves if no local endpoint has capacity, or if a remote one is expected to answer sooner,
network latency included. As nodes decide on the same, partly old figures, only a fraction leaves,
spread at random over about equally good endpoints; this avoids oscillation.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from plumarch.core import hashing, traffic
from plumarch.routing import distance

MIN_GAIN = 0.2
"""Minimum relative gain in expected time before a request leaves its region, since traffic between
regions is expensive."""

MAX_SPILL_FRACTION = 0.5
"""Maximum fraction of requests that leave while the region answers in time."""

MIN_SPARE_FRACTION = 0.25
"""Fraction of an endpoint's slots that must be free for remote requests, so that these don't
make the next region spill over."""

EQUAL_MARGIN = 0.25
"""Endpoints whose expected time exceeds the best by at most this fraction count as equal."""


class LeaveReason(enum.Enum):
    """Why a request leaves its region."""

    NO_LOCAL_CAPACITY = "no_room_near"
    REMOTE_FASTER = "nearer_slower"


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a request requires of its endpoint.

    Attributes:
      time_left_ms: until its deadline.
      enough_ms: a sooner answer has no benefit.
      late_ms: an answer expected after this is late.
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
        """Expected time to the answer, network latency included."""
        ...

    @property
    def network_ms(self) -> float:
        """Network latency to another region."""
        ...

    @property
    def free_slots(self) -> int:
        """Slots not known to be in use."""
        ...


AnyOption = TypeVar("AnyOption", bound=Option)


def local_and_remote(
    candidates: Sequence[traffic.Endpoint], distances: distance.Distances | None
) -> tuple[Sequence[traffic.Endpoint], Sequence[traffic.Endpoint]]:
    """Return the local and the remote endpoints."""
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
    """Return the endpoints grouped by region."""
    regions: dict[str, list[traffic.Endpoint]] = {}
    for one in candidates:
        region = distances.region_of(one.data_centre) if distances is not None else ""
        regions.setdefault(region, []).append(one)
    return list(regions.values())


def stays_local(
    best: Option | None, remote: Sequence[traffic.Endpoint], terms: Terms, seed: int
) -> bool:
    """Return whether the best local endpoint is used without looking at other regions."""
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
    """Choose between the best local endpoint and remote ones.

    Args:
      best: the best local one, or None if none has capacity.
      seed: differs for each request.
    Returns:
      The choice, and why it leaves the region if it does. The choice is None if there is no local
      one and no remote one can answer in time.
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
    """Return whether an endpoint has spare capacity and answers its own region in time."""
    if option.free_slots <= MIN_SPARE_FRACTION * option.endpoint.slots:
        return False
    return not terms.enough_ms or option.expected_ms - option.network_ms <= terms.enough_ms


def spill_fraction(local_ms: float, remote_ms: float, terms: Terms) -> float:
    """Return the fraction of requests that leave, from the best expected times."""
    gain = 1.0 - remote_ms / max(1.0, local_ms)
    if gain < MIN_GAIN:
        return 0.0
    if local_ms > min(terms.late_ms, terms.time_left_ms):
        return 1.0
    return min(MAX_SPILL_FRACTION, gain)


def _draw(options: Sequence[AnyOption], seed: int) -> AnyOption | None:
    """Return a random one of the about equally good options, weighted by free slots."""
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
    """Return a number from 0 to 1, fixed for a request and a purpose."""
    return hashing.digest(seed.to_bytes(8, "big"), purpose) / 2**64
