"""Cloud of engines on virtual time, for replays of engine plans."""

import dataclasses
from collections.abc import Mapping

from plumarch.core import clock, records, traffic
from plumarch.fleet import engine_pools


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine that is booting, running or draining.

    Attributes:
      ends_ms: when it stops, or None if that is not scheduled.
    """

    id: str
    pool: engine_pools.Pool
    ready_ms: int
    ends_ms: int | None = None


@dataclasses.dataclass(slots=True)
class EngineCloud:
    """The engines of one service.

    Attributes:
      unavailable_until_ms: until when a data centre offers no spot engines.
      notice_ms: how long a reclaimed engine keeps running, without new requests.
      cost: accumulated cost; a firm engine at price 1 costs 1 per second.
    """

    clock: clock.ManualClock
    service: str
    scaling: traffic.Scaling
    notice_ms: int = 2_000
    engines: list[Engine] = dataclasses.field(default_factory=list)
    unavailable_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    cost: float = 0.0
    firm_cost: float = 0.0
    refusals: int = 0
    started: int = 0

    def begin(self, firm: Mapping[str, int]) -> None:
        """Start firm engines, without boot time, by data centre."""
        for name, count in firm.items():
            for _ in range(count):
                self._start(engine_pools.Pool(name, False), 0)

    def order(self, order: records.EngineOrder) -> bool:
        """Start or stop engines to match an order.

        Returns:
          Whether the order was refused for lack of spot engines.
        """
        pool = engine_pools.Pool(order.data_centre, order.spot)
        kept = [one for one in self.engines if one.pool == pool and one.ends_ms is None]
        now = self.clock.now()
        for one in sorted(kept, key=lambda one: one.ready_ms)[order.count :]:
            one.ends_ms = now
        more = order.count - len(kept)
        if more <= 0:
            return False
        if order.spot and self.unavailable_until_ms.get(order.data_centre, 0) > now:
            self.refusals += 1
            return True
        here = [one for one in self.engines if one.pool.data_centre == order.data_centre]
        # Engines above the limit are not started, and the order still succeeds.
        for _ in range(min(more, self.scaling.maximum - len(here))):
            self._start(pool, round(self.scaling.boot_ms))
        return False

    def reclaim(self, data_centre: str, none_for_ms: int) -> None:
        """Reclaim all spot engines of a data centre after the notice period."""
        now = self.clock.now()
        self.unavailable_until_ms[data_centre] = now + self.notice_ms + none_for_ms
        for one in self.engines:
            if one.pool == engine_pools.Pool(data_centre, True):
                booting = one.ready_ms > now
                one.ends_ms = now if booting else min(one.ends_ms or now, now) + self.notice_ms

    def advance(self, by_ms: int) -> None:
        """Advance time and add the cost of all engines."""
        for one in self.engines:
            price = self.scaling.prices[one.pool.data_centre] * by_ms / 1_000.0
            self.cost += price * (self.scaling.spot_price if one.pool.spot else 1.0)
            self.firm_cost += 0.0 if one.pool.spot else price
        self.clock.advance_to(self.clock.now() + by_ms)
        now = self.clock.now()
        self.engines = [one for one in self.engines if one.ends_ms is None or one.ends_ms > now]

    def endpoints(self) -> list[traffic.Endpoint]:
        """Return booted engines as registry entries."""
        now = self.clock.now()
        return [
            traffic.Endpoint(
                one.id,
                self.service,
                "1:1",
                one.pool.data_centre,
                8,
                traffic.EndpointState.READY
                if one.ends_ms is None
                else traffic.EndpointState.DRAINING,
                one.pool.spot,
            )
            for one in self.engines
            if one.ready_ms <= now
        ]

    def _start(self, pool: engine_pools.Pool, boot_ms: int) -> None:
        self.started += 1
        engine = Engine(f"e{self.started}", pool, self.clock.now() + boot_ms)
        self.engines.append(engine)
