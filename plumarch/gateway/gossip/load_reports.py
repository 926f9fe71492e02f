"""Loads of endpoints as nodes tell them to one another, and as the chooser keeps them."""

from collections.abc import Iterable, Mapping

from plumarch.peers import gossip
from plumarch.routing import endpoint_choice


def to_message(endpoint: str, load: endpoint_choice.Load) -> gossip.EndpointLoad:
    """Return a load as it is told."""
    return gossip.EndpointLoad(endpoint, load.running, round(load.prompt_tokens))


def heaviest(loads: Mapping[str, endpoint_choice.Load], most: int) -> list[gossip.EndpointLoad]:
    """Return loads as they are told, the heaviest first.

    Args:
      loads: by endpoint identifier.
      most: how many one datagram has room for.
    """
    ranked = sorted(loads.items(), key=lambda one: (-one[1].prompt_tokens, one[0]))
    return [to_message(endpoint, load) for endpoint, load in ranked[:most]]


def from_message(report: gossip.EndpointLoad) -> endpoint_choice.Load:
    """Return a load that was told, as it is kept."""
    return endpoint_choice.Load(report.running, float(report.prompt_tokens))


def from_messages(
    reports: Iterable[gossip.EndpointLoad], by_name: Mapping[str, str]
) -> dict[str, endpoint_choice.Load]:
    """Return loads that were told, as they are kept, by endpoint identifier.

    Args:
      by_name: the incarnation that each endpoint is now, by what it calls itself: by that builds
        tell them that don't tell incarnations apart.
    """
    return {
        by_name.get(report.endpoint, report.endpoint): from_message(report) for report in reports
    }
