"""The gateway's configuration and its index."""

import dataclasses

from plumarch.core import traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration, as nodes exchange it."""

    version: int
    routes: tuple[traffic.Route, ...]
    services: tuple[traffic.Service, ...]
    workspaces: tuple[traffic.Workspace, ...]
    limits: traffic.CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """Index of one version of the configuration.

    Attributes:
      routes_by_host: the routes of each host, longest prefix first.
      workspaces_by_key: the workspace of each access key.
      most_urgent_stream: the lowest priority number of the routes that stream.
    """

    configuration: Configuration
    services: dict[str, traffic.Service]
    workspaces: dict[str, traffic.Workspace]
    routes_by_host: dict[str, tuple[traffic.Route, ...]]
    workspaces_by_key: dict[str, traffic.Workspace]
    most_urgent_stream: int = 0

    @property
    def version(self) -> int:
        """Return the configuration's version."""
        return self.configuration.version

    def match(self, host: str, path: str) -> traffic.Route | None:
        """Return the host's route with the longest prefix of a path.

        Args:
          host: the Host header; a port is ignored.
          path: the path without its query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self.routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def build(configuration: Configuration) -> RoutingTable:
    """Index one version of the configuration."""
    by_host: dict[str, list[traffic.Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
        for host, found in by_host.items()
    }
    spaces = {workspace.name: workspace for workspace in configuration.workspaces}
    by_key = {key: workspace for workspace in spaces.values() for key in workspace.keys}
    named = {service.name: service for service in configuration.services}
    streams = [r.priority for r in configuration.routes if r.kind is traffic.RouteKind.STREAMING]
    most_urgent = min(streams, default=0)
    return RoutingTable(configuration, named, spaces, ordered, by_key, most_urgent)
