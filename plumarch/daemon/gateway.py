"""The gateway daemon."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket

from plumarch.core import addresses, build, clock, errors, suspension
from plumarch.daemon import gateway_settings, listening, status_pages, task_supervisor
from plumarch.fleet import engine_demand, rollout, usage, version_tally
from plumarch.gateway import (
    decision_log,
    dialect,
    fleet_state,
    measures,
    ports,
    relay,
    suspension_watch,
)
from plumarch.gateway.callers import caller_connection
from plumarch.gateway.duties import duty_holder
from plumarch.gateway.gossip import gossiper, heartbeats
from plumarch.gateway.store import (
    follower,
    origin_record,
    quarantine_record,
    registration,
    stream_segments,
)
from plumarch.limits import (
    attempt_budget,
    memory_account,
    memory_admission,
    quarantine,
    quota_tolerance,
    workspace_quota,
)
from plumarch.membership import fleet_view, registry
from plumarch.routing import (
    answer_times,
    data_centre_reach,
    distance,
    endpoint_choice,
    endpoint_health,
    endpoint_limits,
    version_split,
)

FLUSH_MS = 100
CONFIGURATION_WAIT_MS = 400
"""How long callers' connections wait for the first configuration before they get errors."""

CONFIGURATION_CHECK_MS = 5
SETTINGS_CHECK_MS = 2_000
NOT_READY_MS = 2_600
"""Time until the balancer sends no more new connections to a node that is not ready."""

ABORT_BEFORE_KILL_MS = 500
USAGE_EARLY_MS = 1_500
USAGE_MARGIN_MS = 2_500


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        names: dialect.Dialect,
        store: ports.Store,
        cloud: ports.Cloud,
        opened: socket.socket | None = None,
    ) -> None:
        """Build the components of the process.

        Args:
          opened: the callers' listening socket if it is open already, else None.
        """
        self.settings = settings
        self.opened = opened
        self.settings_path = ""
        self.clock = clock.MonotonicClock()
        self.wall = clock.WallClock()
        self.store = store
        self.state = self._new_state(names)
        address = settings.listen.peers
        incarnation = self.wall.now()
        self.view = fleet_view.FleetView(
            self.clock, settings.node.name, incarnation, address, settings.node.data_centre
        )
        status = heartbeats.DutyStatus()
        self.gossiper = gossiper.Gossiper(self.state, self.view, status, settings.peers.seeds)
        self.registration = registration.Registration(self.state, self.view, self.gossiper, store)
        self.follower = follower.Follower(
            self.state,
            store,
            self.gossiper.send_heartbeat_soon,
            lambda: self.view.watches_store(settings.node.data_centre),
            self.view.shares_following,
        )
        self.quarantine = quarantine_record.QuarantineRecord(
            self.state, store, self.view.is_most_senior_candidate
        )
        self.segments = stream_segments.StreamSegments(self.state, store)
        self.origins = origin_record.OriginRecord(
            self.state,
            store,
            self.segments,
            self.view.is_most_senior_candidate,
            settings.node.first_start,
        )
        self.duties = duty_holder.Duties(
            self.state,
            self.view,
            status,
            store,
            cloud,
            self._usage_schedule(),
            settings.node.first_start,
            self._duty_tasks(),
            rollout.Exposure(settings.rollouts.exposure_share, settings.rollouts.exposure_slack),
            self.gossiper.send_heartbeat_soon,
        )
        self.suspension_watch = suspension_watch.SuspensionWatch(
            self.state, self.gossiper.start_bootstrap
        )
        self.callers = relay.new_server(self.state)
        pages = status_pages.StatusPages(self.state, self.ready, self.view)
        self.pages = caller_connection.CallerServer(self.clock, pages, memory=self.state.memory)
        self.stopping = False
        self.supervisor = task_supervisor.TaskSupervisor(self.state)
        self.listeners: list[asyncio.Server] = []

    def _new_state(self, names: dialect.Dialect) -> fleet_state.FleetState:
        settings, now = self.settings, self.clock
        bounds = settings.bounds
        distances = distance.Distances(
            now, settings.node.data_centre, settings.regions.data_centres
        )
        suspensions = suspension.Suspensions(now)
        return fleet_state.FleetState(
            node=settings.node.name,
            data_centre=settings.node.data_centre,
            clock=now,
            wall=self.wall,
            rng=random.Random(f"{settings.node.name} {self.wall.now()}"),
            names=names,
            log=decision_log.DecisionLog(
                self.wall, settings.node.name, lines_per_s=settings.log.lines_per_s
            ),
            measures=measures.Measures(),
            registry=registry.Registry(now),
            chooser=endpoint_choice.EndpointChooser(
                now, settings.node.data_centre, distances=distances
            ),
            health=endpoint_health.EndpointHealth(now, suspensions),
            reach=data_centre_reach.DataCentreReach(now, settings.node.data_centre),
            quota=workspace_quota.WorkspaceQuota(now, now.now(), self._tolerance()),
            budget=attempt_budget.AttemptBudget(
                now,
                round(bounds.retry_window_s * 1000),
                bounds.retry_ratio,
                bounds.retry_extra,
            ),
            work=engine_demand.SentWork(now),
            usage=usage.UsageCounter(round(bounds.usage_window_s * 1000)),
            splits=version_split.VersionSplits(now),
            answers=version_tally.TallyBook(),
            answer_times=answer_times.AnswerTimes(),
            distances=distances,
            memory=memory_account.from_limit(settings.memory.limit_mb),
            pressure=memory_admission.MemoryAdmission(now),
            limits=endpoint_limits.EndpointLimits(now),
            quarantine=quarantine.Quarantine(self.wall),
            suspensions=suspensions,
        )

    def _duty_tasks(self) -> duty_holder.DutyTasks:
        cloud = self.settings.cloud
        known = cloud.duties if cloud.address else ()
        return duty_holder.DutyTasks(
            usage=gateway_settings.USAGE in known, scaling=gateway_settings.SCALING in known
        )

    def _tolerance(self) -> quota_tolerance.Tolerance:
        bounds = self.settings.bounds
        window_ms = round(bounds.quota_window_s * 1000)
        return quota_tolerance.Tolerance(window_ms, bounds.quota_overshoot, bounds.quota_slack)

    def _usage_schedule(self) -> duty_holder.UsageSchedule:
        bounds = self.settings.bounds
        late = bounds.usage_delay_s * 1000 - USAGE_MARGIN_MS
        return duty_holder.UsageSchedule(
            round(bounds.usage_window_s * 1000), USAGE_EARLY_MS, round(max(USAGE_EARLY_MS, late))
        )

    def ready(self) -> bool:
        """Return whether the node is ready for callers."""
        return not self.stopping and self.state.table is not None

    async def start(self) -> None:
        """Open all listeners and start the periodic tasks."""
        listen = self.settings.listen
        asyncio.get_running_loop().set_exception_handler(self.supervisor.handle_loop_error)
        await self.gossiper.start()
        callers_socket = self.opened or listening.bind(listen.callers)
        await self._listen(callers_socket, self.callers, serving=False)
        await self._listen(listening.bind(listen.readiness), self.pages)
        await self._listen(listening.bind(listen.metrics), self.pages)
        for work in (
            self.follower.follow_configuration,
            self.follower.follow_endpoints,
            self._serve_callers,
            self.gossiper.run_heartbeats,
            self.gossiper.run_rounds,
            self.duties.run,
            self.duties.follow_rollouts,
            self.registration.run,
            self.quarantine.follow_forever,
            self.quarantine.write_forever,
            self.origins.run,
            self.segments.run,
            self.suspension_watch.watch_forever,
            self._run_housekeeping,
            self._watch_settings,
        ):
            self.supervisor.start(work)
        self.state.log.write(
            "start",
            urgent=True,
            build=build.NAME,
            incarnation=self.view.incarnation,
            callers=listen.callers,
            data_centre=self.settings.node.data_centre,
            counts_suspensions=clock.COUNTS_SUSPENSIONS,
        )
        self.state.log.flush()

    async def _listen(
        self, sock: socket.socket, server: caller_connection.CallerServer, serving: bool = True
    ) -> None:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            server.connection, sock=sock, backlog=addresses.BACKLOG, start_serving=serving
        )
        self.listeners.append(listener)

    async def _serve_callers(self) -> None:
        """Start to accept callers' connections; until then they wait in the kernel's queue.

        Without a configuration each request would be rejected.
        """
        deadline_ms = self.clock.now() + CONFIGURATION_WAIT_MS
        while self.state.table is None and self.clock.now() < deadline_ms:
            await asyncio.sleep(CONFIGURATION_CHECK_MS / 1000.0)
        if not self.stopping:
            await self.listeners[0].start_serving()

    async def _run_housekeeping(self) -> None:
        """Flush the log and update limits and gauges."""
        while True:
            await asyncio.sleep(FLUSH_MS / 1000.0)
            state = self.state
            state.log.flush()
            if state.table is not None:
                self.callers.limits = state.table.configuration.limits
            state.measures.lines_dropped = state.log.dropped_total

    def _is_busy(self) -> bool:
        """Return whether requests are in progress, here or through tunnels of other nodes."""
        return bool(self.callers.busy() or self.gossiper.tunnels.busy())

    async def _watch_settings(self) -> None:
        """Reload the settings file when its modification time changes."""
        path = pathlib.Path(self.settings_path)
        if not path.is_file():
            return
        seen = path.stat().st_mtime_ns
        while True:
            await asyncio.sleep(SETTINGS_CHECK_MS / 1000.0)
            with contextlib.suppress(OSError):
                changed = path.stat().st_mtime_ns
                if changed != seen:
                    seen = changed
                    self.reload(str(path))

    def reload(self, path: str) -> None:
        """Apply the settings that may change at run time; an invalid file is ignored."""
        try:
            loaded = gateway_settings.load(path)
        except errors.SettingsError as error:
            self.state.log.write("reload", urgent=True, outcome="kept the old", why=str(error))
            return
        self.gossiper.learn_seeds(loaded.peers.seeds)
        self.state.log.write("reload", urgent=True, outcome="taken", seeds=list(loaded.peers.seeds))

    async def stop(self) -> None:
        """Report not ready, finish open requests, then close."""
        begun = self.clock.now()
        grace_ms = self.settings.bounds.stop_s * 1000.0
        self.stopping = True
        self.callers.draining = True
        self.gossiper.leaving = True
        self.duties.leaving = True
        self.gossiper.send_heartbeat_soon()
        self.state.log.write("stop", urgent=True, busy=self.callers.busy())
        ends = begun + grace_ms - ABORT_BEFORE_KILL_MS
        while self.clock.now() < min(begun + NOT_READY_MS, ends):
            await asyncio.sleep(0.05)
        self.state.stops_at_ms = round(ends)
        self.listeners[0].close()
        self.callers.close_idle()
        while self._is_busy() and self.clock.now() < ends:
            await asyncio.sleep(0.05)
        self.state.log.write("stopped", urgent=True, cut=self.callers.busy())
        self.state.log.flush()
        for listener in self.listeners:
            listener.close()
        self.callers.close_all()
        self.supervisor.cancel()
        self.gossiper.close()


async def serve(gateway: Gateway, settings_path: str) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    Args:
      settings_path: the file that is reloaded when it changes or on SIGHUP.
    """
    gateway.settings_path = settings_path
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: gateway.reload(settings_path))
    os.set_blocking(1, False)
    await gateway.start()
    await stop_requested.wait()
    await gateway.stop()
