"""Shares and answers of versions, as nodes tell them to one another and as they keep them."""

from collections.abc import Callable, Iterable

from plumarch.core import rollouts
from plumarch.fleet import version_tally
from plumarch.gateway import fleet_state
from plumarch.peers import gossip

MAX_ROUTES = 12
"""Routes and versions whose answers one datagram tells, those with most answers first; some 60
bytes each."""

STATES = {state.value: state for state in rollouts.RolloutState}


def shares_to_messages(state: fleet_state.FleetState) -> list[gossip.VersionShare]:
    """Return the shares of versions as they are told."""
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
        for one in state.splits.told()
    ]


def answers_to_messages(
    state: fleet_state.FleetState, counts_in: Callable[[str], bool] = lambda source: False
) -> list[gossip.VersionAnswers]:
    """Return the answers of versions while a roll-out runs, as they are told.

    Args:
      counts_in: whose counts are part of it besides this node's own.
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


def apply_shares(state: fleet_state.FleetState, told: Iterable[gossip.VersionShare]) -> bool:
    """Adopt the shares that others told.

    Returns:
      Whether some were news.
    """
    news = False
    for one in told:
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
            news = state.adopt_split(split) or news
    return news


def apply_answers(
    state: fleet_state.FleetState, source: str, told: Iterable[gossip.VersionAnswers]
) -> None:
    """Keep the counts that a source told."""
    counts = {
        version_tally.TallyKey(one.service, one.version, one.route): version_tally.Tally(
            one.answers, one.bad
        )
        for one in told
    }
    if counts:
        state.answers.hear(source, counts)
