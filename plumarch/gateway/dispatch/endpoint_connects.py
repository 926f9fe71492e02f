"""Connects to endpoints, directly or through tunnels of other nodes.

No byte of a request is sent before a connection is chosen, so several connects may race.
"""

import asyncio
from collections.abc import Coroutine

from plumarch.core import traffic
from plumarch.gateway import errors, fleet_state
from plumarch.gateway.connections import exchange, tunneled
from plumarch.peers import tunnels
from plumarch.routing import direct_paths

TUNNEL_INTERVAL_MS = 60.0
"""Time after which the next node is asked beside one that has not answered."""

MAX_PENDING_TUNNELS = 2
"""Tunnels opened in parallel, so that an endpoint that is down or overloaded gets few connects."""

MAX_FAILED_TUNNELS = 3
"""Nodes that could not connect either after which no further one is asked."""

TUNNEL_TIMEOUT_FRACTION = 0.4
"""Timeout of a tunnel, as a fraction of a direct connect's: the request may need the rest of its
time for another endpoint."""

ASKING_TIMEOUTS = 2.0
"""Time in which nodes are asked, in timeouts of a tunnel."""


async def connect(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, request: str, timeout_ms: float
) -> exchange.Exchange:
    """Connect to an endpoint.

    Args:
      request: its identifier, for the log.
      timeout_ms: of a direct connect.
    Raises:
      ConnectFailed: neither this node nor those asked could connect.
    """
    plan = state.paths.plan(endpoint.id)
    began_ms = state.clock.now()
    direct_failed: errors.ConnectFailed | None = None
    if plan is direct_paths.ConnectPlan.DIRECT_FIRST or state.tunnel_peers is None:
        try:
            return await _connect_directly(state, endpoint, timeout_ms)
        except errors.ConnectFailed as error:
            direct_failed = error
    race = ConnectRace(state, endpoint, request, timeout_ms, plan, began_ms, direct_failed)
    try:
        return await race.run()
    finally:
        race.end()


async def _connect_directly(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, timeout_ms: float
) -> exchange.Exchange:
    try:
        opened = await exchange.connect(endpoint.address, timeout_ms)
    except errors.ConnectFailed:
        record_direct_failure(state, endpoint)
        raise
    state.paths.record_connect(endpoint.id)
    return opened


class ConnectRace:
    """Connects to one endpoint in parallel; the first connection wins.

    Attributes:
      asked_ms: when the first node was asked, or None.
      peers: nodes still to be asked for a tunnel, or None before they are chosen.
      direct_failed: how the direct connect failed, or None.
      error: of the last tunnel.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        endpoint: traffic.Endpoint,
        request: str,
        timeout_ms: float,
        plan: direct_paths.ConnectPlan,
        began_ms: int,
        direct_failed: errors.ConnectFailed | None,
    ) -> None:
        self.plan = plan
        self.state = state
        self.endpoint = endpoint
        self.request = request
        self.timeout_ms = timeout_ms
        self.tunnel_timeout_ms = max(1.0, TUNNEL_TIMEOUT_FRACTION * timeout_ms)
        self.began_ms = began_ms
        self.asked_ms: int | None = None
        self.peers: list[str] | None = None
        self.direct: asyncio.Task[exchange.Exchange] | None = None
        self.tunnels: dict[asyncio.Task[exchange.Exchange], str] = {}
        self.direct_failed = direct_failed
        self.error: errors.ConnectFailed | None = None
        self.failed_tunnels = 0
        self.winner: asyncio.Task[exchange.Exchange] | None = None

    async def run(self) -> exchange.Exchange:
        """Return the first connection.

        Raises:
          ConnectFailed: all connects failed.
        """
        if self.plan is direct_paths.ConnectPlan.BOTH:
            self._begin_direct()
        has_asked = self._begin_tunnel()
        if not has_asked and self.direct is None and self.direct_failed is None:
            self._begin_direct()
        while pending := self._pending():
            done, _ = await asyncio.wait(
                pending,
                timeout=TUNNEL_INTERVAL_MS / 1000.0 if self.peers else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in sorted(done, key=lambda one: one is not self.direct):
                opened = self._result(task)
                if opened is not None:
                    return opened
            is_last = not self._begin_tunnel() and not self._pending()
            if is_last and self.direct is None and self.direct_failed is None:
                # None of the other nodes helped: the direct path may be back.
                self._begin_direct()
        raise self.direct_failed or self.error or errors.ConnectFailed("No connect was tried.")

    def _pending(self) -> list[asyncio.Task[exchange.Exchange]]:
        found = list(self.tunnels)
        if self.direct is not None and self.direct_failed is None:
            found.append(self.direct)
        return found

    def _begin_direct(self) -> None:
        self.direct = _task(exchange.connect(self.endpoint.address, self.timeout_ms))

    def _begin_tunnel(self) -> bool:
        """Ask the next node for a tunnel, or wait for those asked; False if none is left."""
        if self.peers is None:
            known = self.state.tunnel_peers
            self.peers = known.choose() if known is not None else []
        now = self.state.clock.now()
        if self.asked_ms is None:
            self.asked_ms = now
        is_over = now - self.asked_ms >= ASKING_TIMEOUTS * self.tunnel_timeout_ms
        if not self.peers or is_over or self.failed_tunnels >= MAX_FAILED_TUNNELS:
            return False
        if len(self.tunnels) >= MAX_PENDING_TUNNELS:
            return True
        peer = self.peers.pop(0)
        request = tunnels.TunnelRequest(
            self.state.node,
            self.endpoint.id,
            self.endpoint.address,
            round(self.tunnel_timeout_ms),
        )
        opening = tunneled.connect(peer, request, self.tunnel_timeout_ms)
        self.tunnels[_task(opening)] = peer
        return True

    def _result(self, task: asyncio.Task[exchange.Exchange]) -> exchange.Exchange | None:
        """Return a finished task's connection, or None if it failed."""
        try:
            opened = task.result()
        except errors.ConnectFailed as error:
            if task is self.direct:
                self.direct_failed = error
                record_direct_failure(self.state, self.endpoint)
            else:
                self._note_failed_tunnel(self.tunnels.pop(task), error)
            return None
        self.winner = task
        if task is self.direct:
            self.state.paths.record_connect(self.endpoint.id)
        else:
            self._note_tunnel(self.tunnels[task])
        return opened

    def _note_failed_tunnel(self, peer: str, error: errors.ConnectFailed) -> None:
        self.error = error
        is_unavailable = isinstance(error, errors.TunnelUnavailable)
        self.failed_tunnels += not is_unavailable
        self.state.measures.tunnels.add("used", "unavailable" if is_unavailable else "failed")
        if is_unavailable and self.state.tunnel_peers is not None:
            self.state.tunnel_peers.note_unavailable(peer)

    def _note_tunnel(self, peer: str) -> None:
        state = self.state
        state.measures.tunnels.add("used", "connected")
        if state.tunnel_peers is not None:
            state.tunnel_peers.note_opened(peer)
        state.log.write(
            "tunneled",
            request=self.request,
            endpoint=self.endpoint.id,
            through=peer,
            after_ms=state.clock.now() - self.began_ms,
            direct=self._direct_outcome(),
            connect_age_ms=state.paths.connect_age_ms(),
        )
        if state.paths.record_tunnel(self.endpoint.id):
            log_unreachable(state, self.endpoint)

    def _direct_outcome(self) -> str:
        if self.direct_failed is not None:
            return "refused" if self.direct_failed.is_refused else "no_answer"
        return "not_tried" if self.direct is None else "pending"

    def end(self) -> None:
        """Abandon the connects that lost.

        A direct connect goes on beside a tunnel, to learn whether the endpoint is reachable.
        """
        losers = [one for one in self.tunnels if one is not self.winner]
        if self.direct is not None and self.direct is not self.winner:
            if self.winner is not None and self.direct_failed is None:
                self.state.late_connects.add(self.direct)
                self.direct.add_done_callback(self._finish_late)
            else:
                losers.append(self.direct)
        for task in losers:
            task.cancel()
            task.add_done_callback(_close)

    def _finish_late(self, task: asyncio.Task[exchange.Exchange]) -> None:
        """Record how a direct connect ended after a tunnel was chosen."""
        self.state.late_connects.discard(task)
        if task.cancelled():
            return
        if task.exception() is None:
            self.state.paths.record_connect(self.endpoint.id)
            task.result().close()
        else:
            record_direct_failure(self.state, self.endpoint)


def record_direct_failure(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Record a failed direct connect."""
    if state.paths.record_failure(endpoint.id):
        log_unreachable(state, endpoint)


def log_unreachable(state: fleet_state.FleetState, endpoint: traffic.Endpoint) -> None:
    """Log an endpoint that only other nodes reach, and report a cut to them."""
    if state.paths.is_cut_off():
        state.send_update_soon()
    state.log.write(
        "endpoint_unreachable",
        endpoint=endpoint.id,
        service=endpoint.service,
        unreachable=len(state.paths.retry_ms),
        is_cut_off=state.paths.is_cut_off(),
        connect_age_ms=state.paths.connect_age_ms(),
    )


async def is_listening(
    state: fleet_state.FleetState, endpoint: traffic.Endpoint, timeout_ms: float
) -> bool | None:
    """Return whether an endpoint accepts connections, or None if unknown.

    A refused connect may be this node's own, so other nodes try as well: if one of them connects,
    the endpoint is unreachable from here.
    """
    if await exchange.is_listening(endpoint.address, timeout_ms) is not False:
        return None if state.paths.is_unreachable(endpoint.id) else True
    record_direct_failure(state, endpoint)
    known = state.tunnel_peers
    request = tunnels.TunnelRequest(state.node, endpoint.id, endpoint.address, round(timeout_ms))
    found: bool | None = False
    for peer in known.choose() if known is not None else []:
        try:
            opened = await tunneled.connect(peer, request, timeout_ms)
        except errors.ConnectFailed as error:
            if not error.is_refused and not isinstance(error, errors.TunnelUnavailable):
                found = None
            continue
        opened.close()
        if state.paths.record_tunnel(endpoint.id):
            log_unreachable(state, endpoint)
        return True
    return found


def _task(
    connecting: Coroutine[None, None, exchange.Exchange],
) -> asyncio.Task[exchange.Exchange]:
    return asyncio.get_running_loop().create_task(connecting)


def _close(task: asyncio.Task[exchange.Exchange]) -> None:
    """Close a connection that came up too late."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
