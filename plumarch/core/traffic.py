"""The gateway's traffic: times in milliseconds, sizes in bytes, prices relative to a firm VM's."""

import dataclasses
import enum
from collections.abc import Mapping


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for a host and path prefix.

    Attributes:
      target_ms: target time to the answer or first event.
      target_gap_ms: target for the longest gap between events.
      priority: 0 is the most urgent.
      max_attempts: maximum number of endpoints tried.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_ms: float
    shares: tuple[ServiceShare, ...]
    target_gap_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    def repeatable(self) -> bool:
        """Return whether requests may run more than once."""
        if self.kind is RouteKind.SAFE:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Capacity of an engine.

    Attributes:
      slots: maximum concurrent requests.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Limits and prices for ordering endpoints of a service in each data centre.

    Attributes:
      prices: price per second of a firm endpoint, by data centre.
      spot_price: fraction of a firm endpoint's price.
    """

    minimum: int
    maximum: int
    boot_ms: float
    spot_price: float
    prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of equivalent endpoints."""

    name: str
    health_path: str = "/"
    connection_limit: int = 0
    engine: EngineModel | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer's keys, rank and quota.

    Attributes:
      counts_tokens: whether the quota is in tokens rather than requests.
      plain_tokens: tokens charged for a request without a token count.
      rate: units per second; 0 for no limit.
      burst: units above the rate that may be spent at once.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    counts_tokens: bool = False
    plain_tokens: int = 0
    rate: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Callers' size limits and timeouts."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint, as last reported by the registry.

    Attributes:
      id: identifier of the incarnation; addresses may be reused.
      address: IP:port.
      slots: maximum concurrent requests.
      leaves_in_ms: time left when it announced its shutdown, or None.
      version: software version.
      born_ms: start of the process by its time of day; 0 if not announced.
      name: name across restarts; "" if equal to the id.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: EndpointState
    spot: bool = False
    leaves_in_ms: float | None = None
    version: str = ""
    born_ms: int = 0
    name: str = ""

    def stable_name(self) -> str:
        """Return the name across restarts."""
        return self.name or self.id

    def may_have_answered(self, sent_to: str, alive_ms: int) -> bool:
        """Return whether an answer for this name may come from this incarnation.

        It does not if the process started after the connection was established.

        Args:
          sent_to: identifier of the incarnation that was sent the request.
          alive_ms: time of day at which the connection was established.
        """
        return self.id == sent_to or 0 < self.born_ms <= alive_ms


DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
START_DIGITS = 5
"""Digits of the start time in an identifier; they wrap after 17 hours."""


def incarnation(name: str, born_ms: int) -> str:
    """Return the identifier of an incarnation; the registry entry's revision gives the order.

    Args:
      name: the endpoint's name.
      born_ms: start by time of day, which may step back; 0 for the name alone.
    """
    if not born_ms:
        return name
    digits = ""
    for _ in range(START_DIGITS):
        born_ms, digit = divmod(born_ms, len(DIGITS))
        digits = DIGITS[digit] + digits
    return f"{name}.{digits}"


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A prompt segment that several requests may share."""

    id: str
    tokens: int
