"""Converts engine speeds to and from messages."""

from collections.abc import Callable, Iterable

from plumarch.gateway import fleet_state
from plumarch.peers import gossip
from plumarch.routing import engine_speed

US_PER_MS = 1_000.0


def to_messages(
    state: fleet_state.FleetState, counts_in: Callable[[str], bool] = lambda source: False
) -> list[gossip.EngineSpeed]:
    """Return messages for the speeds of all services' engines.

    Args:
      counts_in: whether to include a source's reports besides own ones.
    """
    now = state.clock.now()
    found = []
    for name, speed in state.chooser.speeds.items():
        one = speed.report(now, state.work.reading(name), counts_in)
        if one.seen:
            us_per_token = round(US_PER_MS * one.ms_per_token, 2)
            units, unread = round(one.work.units), round(one.work.unread)
            found.append(
                gossip.EngineSpeed(name, us_per_token, round(one.seen), one.nodes, units, unread)
            )
    return found


def apply(
    state: fleet_state.FleetState, source: str, reports: Iterable[gossip.EngineSpeed]
) -> None:
    """Record the speeds that a source reported."""
    now = state.clock.now()
    for one in reports:
        if one.us_per_token <= 0:
            continue
        work = engine_speed.ReadingWork(one.units, one.unread)
        report = engine_speed.SpeedReport(one.us_per_token / US_PER_MS, one.seen, one.nodes, work)
        state.chooser.speed(one.service).receive(source, report, now)
