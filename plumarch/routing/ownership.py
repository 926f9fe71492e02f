"""Assigns each endpoint the node that admits requests to it.

An owner's counts of its endpoint are exact.
"""

from collections.abc import Iterable

from plumarch.core import data, hashing


def owners(endpoints: Iterable[data.Endpoint], centre_of: dict[str, str]) -> dict[str, str]:
    """Return the owner of each endpoint.

    Args:
      centre_of: live nodes and their data centres.
    Returns:
      Endpoint name to node; endpoints of one kind and target are spread evenly.
    """
    groups: dict[tuple[data.EndpointKind, tuple[str, ...]], list[data.Endpoint]] = {}
    for endpoint in endpoints:
        groups.setdefault((endpoint.kind, endpoint.targets), []).append(endpoint)
    found: dict[str, str] = {}
    for group in groups.values():
        found |= _assign_evenly(sorted(group, key=lambda e: e.name), centre_of)
    return found


def _assign_evenly(group: list[data.Endpoint], centre_of: dict[str, str]) -> dict[str, str]:
    if not centre_of:
        return {}
    least, rest = divmod(len(group), len(centre_of))
    load = dict.fromkeys(centre_of, 0)
    found: dict[str, str] = {}
    # Nodes of the endpoint's data centre first, up to an even load; the rest goes to any node.
    for limit in (least, least + 1 if rest else least):
        for same_centre in (True, False):
            for endpoint in group:
                if endpoint.name not in found:
                    nodes = _eligible_nodes(endpoint, centre_of, same_centre)
                    _assign(endpoint, nodes, limit, load, found)
    return found


def _eligible_nodes(
    endpoint: data.Endpoint, centre_of: dict[str, str], same_centre: bool
) -> list[str]:
    if not same_centre:
        return list(centre_of)
    return [node for node, centre in centre_of.items() if centre == endpoint.data_centre]


def _assign(
    endpoint: data.Endpoint,
    nodes: list[str],
    limit: int,
    load: dict[str, int],
    found: dict[str, str],
) -> None:
    """Assign an endpoint to the first node under a limit, by rendezvous hashing."""
    for node in hashing.rendezvous(endpoint.name, nodes):
        if load[node] < limit:
            load[node] += 1
            found[endpoint.name] = node
            return
