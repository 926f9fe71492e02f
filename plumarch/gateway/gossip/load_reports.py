"""Converts endpoint loads to and from messages."""

from collections.abc import Iterable, Mapping

from plumarch.peers import gossip
from plumarch.routing import endpoint_choice


def to_message(endpoint: str, load: endpoint_choice.Load) -> gossip.EndpointLoad:
    """Return the message for a load."""
    return gossip.EndpointLoad(endpoint, load.running, round(load.prompt_tokens))


def heaviest(loads: Mapping[str, endpoint_choice.Load], limit: int) -> list[gossip.EndpointLoad]:
    """Return messages for the heaviest loads, heaviest first.

    Args:
      loads: by endpoint identifier.
      limit: the maximum number in one datagram.
    """
    ranked = sorted(loads.items(), key=lambda one: (-one[1].prompt_tokens, one[0]))
    return [to_message(endpoint, load) for endpoint, load in ranked[:limit]]


def from_message(report: gossip.EndpointLoad) -> endpoint_choice.Load:
    """Return the load in a message."""
    return endpoint_choice.Load(report.running, float(report.prompt_tokens))


def from_messages(
    reports: Iterable[gossip.EndpointLoad], by_name: Mapping[str, str]
) -> dict[str, endpoint_choice.Load]:
    """Return the loads in messages, by endpoint identifier.

    Args:
      by_name: current incarnations by endpoint name, which earlier builds report.
    """
    return {
        by_name.get(report.endpoint, report.endpoint): from_message(report) for report in reports
    }
