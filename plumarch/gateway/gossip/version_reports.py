"""Converts version shares and answer counts to and from messages."""

from collections.abc import Callable, Iterable

from plumarch.core import rollouts
from plumarch.fleet import version_tally
from plumarch.gateway import fleet_state
from plumarch.peers import gossip

MAX_ROUTES = 12
"""Routes and versions in one datagram, most answers first."""

STATES = {state.value: state for state in rollouts.RolloutState}


def shares_to_messages(state: fleet_state.FleetState) -> list[gossip.VersionShare]:
    """Return messages for the shares of versions."""
    return [
        gossip.VersionShare(
            one.service,
            one.version,
            one.state.value,
            one.share,
            one.token,
            one.step,
            one.vetoed,
        )
        for one in state.splits.to_publish()
    ]


def answers_to_messages(
    state: fleet_state.FleetState, counts_in: Callable[[str], bool] = lambda source: False
) -> list[gossip.VersionAnswers]:
    """Return messages for the answers of versions of which a roll-out is running.

    Args:
      counts_in: whether to include a source's counts besides own ones.
    """
    running = {split.service for split in state.splits.running()}
    if not running:
        return []
    total = state.answers.total(counts_in)
    found = [(key, tally) for key, tally in total.items() if key.service in running]
    found.sort(key=lambda one: (-one[1].answers, one[0].version, one[0].route))
    return [
        gossip.VersionAnswers(key.service, key.version, key.route, tally.answers, tally.bad)
        for key, tally in found[:MAX_ROUTES]
    ]


def apply_shares(state: fleet_state.FleetState, reports: Iterable[gossip.VersionShare]) -> bool:
    """Adopt reported shares; return whether any changed."""
    changed = False
    for one in reports:
        if one.state in STATES:
            split = rollouts.VersionSplit(
                one.service,
                one.version,
                STATES[one.state],
                one.share,
                one.token,
                one.step,
                one.vetoed,
            )
            changed = state.adopt_split(split) or changed
    return changed


def apply_answers(
    state: fleet_state.FleetState, source: str, reports: Iterable[gossip.VersionAnswers]
) -> None:
    """Record the answer counts that a source reported."""
    counts = {
        version_tally.TallyKey(one.service, one.version, one.route): version_tally.Tally(
            one.answers, one.bad
        )
        for one in reports
    }
    if counts:
        state.answers.merge_report(source, counts)
