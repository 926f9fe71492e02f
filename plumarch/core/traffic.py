"""Plain types of the gateway's traffic: routes, services, workspaces, endpoints.

Times are in milliseconds, sizes in bytes, prices as fractions of a firm VM's.
"""

import dataclasses
import enum
from collections.abc import Mapping


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """The weight with which a route sends to a service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host below a path prefix go, and how they may be treated.

    Attributes:
      timeout_ms: the longest time that a request is held.
      target_ms: the time within which an answer (a first event) is wanted.
      target_gap_ms: the longest pause between events of a stream that is wanted.
      priority: 0 is the most urgent.
      max_attempts: the most endpoints to which one request may be sent.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.SAFE:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """What an engine of a service holds.

    Attributes:
      slots: requests that it runs at once.
      cache_tokens: tokens that its KV cache holds.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """How many endpoints of a service may be ordered in each data centre.

    Attributes:
      prices: a second of a firm endpoint, by data centre.
      spot_price: a reclaimable endpoint's price as a fraction of a firm one's.
    """

    minimum: int
    maximum: int
    boot_ms: float
    spot_price: float
    prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that do the same work."""

    name: str
    health_path: str = "/"
    connection_limit: int = 0
    engine: EngineModel | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its keys, rank and allotment.

    Attributes:
      counts_tokens: whether the allotment is in tokens; otherwise in requests.
      plain_tokens: what a request without a token count stands for.
      rate: allotted units a second; 0 is no limit.
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
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint, as the registry last told.

    All that is known of an endpoint is kept by its id, so that nothing of it outlives its process.

    Attributes:
      id: the incarnation's identifier; an address may be reused by another one.
      address: IP:port.
      slots: requests that it works on at once.
      spot: whether it may be reclaimed.
      leaves_in_ms: time left when it announced its end, or None.
      version: of its software; endpoints of several serve beside each other in a roll-out.
      born_ms: time of day of the process's start, as it says itself; 0 if it doesn't.
      name: what the endpoint calls itself over all its starts; "" if that is the id.
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

    def called(self) -> str:
        """Return what the endpoint calls itself, the same after it started again."""
        return self.name or self.id

    def is_meant(self, asked: str, alive_ms: int) -> bool:
        """Return whether an answer that came from this name's address is this incarnation's own.

        The process that answered may have started after the entry of the one that was asked. One
        born after the answer's connection came up did not send it.

        Args:
          asked: identifier of the incarnation that was asked.
          alive_ms: time of day at which the connection to the process that answered came up.
        """
        return self.id == asked or 0 < self.born_ms <= alive_ms


DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
BORN_DIGITS = 5
"""Digits of an incarnation's birth in its identifier, which nodes tell each other ten times a
second: it comes again after 17 hours, to the millisecond."""


def incarnation(name: str, born_ms: int) -> str:
    """Return the identifier of an endpoint's incarnation.

    Two births only need to be told apart. Which of them is the later one is for the revision of
    the entry that tells them to say: the time of day may have stepped back between them.

    Args:
      name: what the endpoint calls itself.
      born_ms: time of day of its process's start; 0 if it doesn't tell, and name stands alone.
    """
    if not born_ms:
        return name
    digits = ""
    for _ in range(BORN_DIGITS):
        born_ms, digit = divmod(born_ms, len(DIGITS))
        digits = DIGITS[digit] + digits
    return f"{name}.{digits}"


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share; parts come in order."""

    id: str
    tokens: int
