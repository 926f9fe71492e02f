"""Tests of the look-ups of routes and access keys."""

from plumarch.config import routing_table
from plumarch.core import traffic


def route(name: str, host: str, prefix: str) -> traffic.Route:
    shares = (traffic.ServiceShare("s", 1.0),)
    return traffic.Route(name, host, prefix, traffic.RouteKind.SAFE, 1_000, 100, shares)


TABLE = routing_table.build(
    routing_table.Configuration(
        version=3,
        routes=(
            route("short", "h.example", "/a/"),
            route("long", "h.example", "/a/b/"),
            route("other", "Other.example", "/"),
        ),
        services=(traffic.Service("s"),),
        workspaces=(traffic.Workspace("w", ("k1", "k2")),),
        limits=traffic.CallerLimits(),
    )
)


def name_of(host: str, path: str) -> str:
    found = TABLE.match(host, path)
    return found.name if found else ""


def test_match_returns_the_longest_prefix_of_the_host():
    assert name_of("h.example", "/a/b/c") == "long"
    assert name_of("h.example", "/a/x") == "short"
    assert name_of("H.EXAMPLE:8080", "/a/b/") == "long"
    assert name_of("other.example", "/anything") == "other"


def test_match_returns_none_without_a_matching_route():
    assert name_of("h.example", "/b/") == ""
    assert name_of("unknown.example", "/a/b/") == ""
    assert name_of("h.example", "/a") == ""


def test_access_keys_are_indexed_by_workspace():
    assert TABLE.workspaces_by_key["k2"].name == "w"
    assert "k3" not in TABLE.workspaces_by_key
