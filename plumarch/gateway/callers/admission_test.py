"""Priority of requests at an engine."""

import dataclasses

import pytest

from plumarch.core import traffic
from plumarch.gateway.callers import admission, caller_requests

ROUTE = traffic.Route(
    "r", "h", "/", traffic.RouteKind.STREAMING, 1_000, 100, (traffic.ServiceShare("s", 1.0),)
)


def admitted(route_rank: int, workspace_rank: int | None) -> admission.Admitted:
    space = None
    if workspace_rank is not None:
        space = traffic.Workspace("w", ("k",), priority=workspace_rank)
    return admission.Admitted(
        request=caller_requests.CallerRequest(b"POST", b"/", (), b"", 0),
        id="r1",
        route=dataclasses.replace(ROUTE, priority=route_rank),
        service="s",
        workspace=space,
        units=0.0,
        ends_ms=0.0,
        parts=(),
        prompt_tokens=1,
        version=1,
    )


@pytest.mark.parametrize(
    ("route_rank", "workspace_rank", "urgency"),
    [(0, None, 0), (2, None, 2), (0, 0, 0), (1, 0, 1), (0, 1, 3), (2, 1, 5), (9, 0, 2), (2, 9, 9)],
)
def test_workspace_rank_takes_precedence_over_route_rank(
    route_rank: int, workspace_rank: int | None, urgency: int
):
    assert admission.urgency(admitted(route_rank, workspace_rank)) == urgency
