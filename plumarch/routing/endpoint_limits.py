"""How many requests an endpoint is given at once: what it bears, as far as is known.

Its places come from the registry and the configuration. What it bears beyond them is learned.
"""

import dataclasses

from plumarch.core import clock, traffic

QUEUE_FACTOR = 3.0
"""Requests at a plain endpoint, in multiples of its slots, before it counts as full."""

ENGINE_QUEUE_FACTOR = 1.5
"""The same at engines, where a request waits for one of many places; how long it is expected to
wait counts among the costs, and a wait beyond its target refuses it. A judgement: half a batch
is as long as a target lets anything wait."""


@dataclasses.dataclass(slots=True)
class EndpointLimits:
    """What endpoints bear."""

    clock: clock.Clock

    def has_room(self, endpoint: traffic.Endpoint, running: int, is_engine: bool) -> bool:
        """Return whether an endpoint may be given a further request.

        Args:
          running: requests of all nodes that run or wait there, as far as known.
        """
        factor = ENGINE_QUEUE_FACTOR if is_engine else QUEUE_FACTOR
        return running < factor * max(1, endpoint.slots)
