import random

from plumarch.core import clock, context, data
from plumarch.routing import placement


def endpoint(name: str, **more: object) -> data.Endpoint:
    found = data.Endpoint(name, "a", data.EndpointKind.ENGINE, f"http://{name}", ("writer",))
    return data.dataclasses.replace(found, **more)  # type: ignore[arg-type]


def places(*endpoints: data.Endpoint) -> placement.Placement:
    ctx = context.Context("a1#1", "a", clock.ManualClock(1_000), random.Random(1))
    made = placement.Placement(ctx)
    made.update(endpoints)
    made.assign_owners({"a1#1": "a"})
    return made


def chat(prefix: int = 0) -> data.Request:
    return data.Request(
        "1",
        "w",
        "writer",
        data.EndpointKind.ENGINE,
        data.RequestClass.CHAT,
        prompt_tokens=1_000,
        prefix=prefix,
    )


def chosen(made: placement.Placement, request: data.Request) -> str:
    found, _ = made.choose(request, frozenset())
    return found.name if found else ""


def test_the_less_loaded_is_chosen() -> None:
    made = places(endpoint("x"), endpoint("y"))
    made.started("x", 0)
    assert chosen(made, chat()) == "y"


def test_a_cached_prefix_outweighs_a_little_load() -> None:
    made = places(endpoint("x"), endpoint("y"))
    made.started("y", 5)
    assert chosen(made, chat(prefix=5)) == "y"
    for _ in range(6):
        made.started("y", 5)
    assert chosen(made, chat(prefix=5)) == "x"


def test_a_cheaper_endpoint_is_preferred_at_equal_load() -> None:
    assert chosen(places(endpoint("x", price=1.0), endpoint("y", price=0.4)), chat()) == "y"


def test_leaving_full_and_forbidden_endpoints_get_nothing() -> None:
    made = places(endpoint("x"), endpoint("y", data_centre="b"))
    made.leave("x", 0)
    found, considered = made.choose(chat(), frozenset({"a"}))
    assert found is None
    assert [c.note for c in considered] == ["leaving", "data centre not allowed"]


def test_the_last_slot_is_reserved_for_lookups() -> None:
    made = places(endpoint("x", capacity=2))
    made.started("x", 0)
    assert chosen(made, chat()) == ""
    urgent = data.dataclasses.replace(chat(), request_class=data.RequestClass.LOOKUP)
    assert chosen(made, urgent) == "x"


def test_a_slow_endpoint_is_ejected_and_probed_back() -> None:
    made = places(*(endpoint(name) for name in "vwxyz"))
    for _ in range(placement.MIN_MEASUREMENTS):
        for name in "wxyz":
            made.measured(name, 100)
        made.measured("v", 1_000)
    _, considered = made.choose(chat(), frozenset())
    assert [c.endpoint for c in considered if "ejected" in c.note] == ["v"]
    made.ctx.clock.advance_to(1_001 + placement.EJECT_MS)  # type: ignore[attr-defined]
    made.measured("v", 100)
    _, considered = made.choose(chat(), frozenset())
    assert [c for c in considered if c.note] == []


def test_only_a_fraction_of_endpoints_is_ejected() -> None:
    made = places(*(endpoint(name) for name in "abcdefghij"))
    for name, delay in [(n, 100) for n in "efghij"] + [(n, 5_000) for n in "abcd"]:
        for _ in range(placement.MIN_MEASUREMENTS):
            made.measured(name, delay)
    out = [name for name, seen in made.stats.items() if seen.ejected_until_ms]
    assert len(out) == 3


def test_an_unreachable_endpoint_is_avoided() -> None:
    made = places(endpoint("x", price=0.1), endpoint("y"))
    made.unreachable("x")
    assert chosen(made, chat()) == "y"


def test_of_many_endpoints_a_sample_is_scored_with_the_likely_one() -> None:
    made = places(*(endpoint(f"e{n:03d}") for n in range(200)))
    made.started("e150", 9)
    made.ended("e150")
    assert chosen(made, chat(prefix=9)) == "e150"
    _, considered = made.choose(chat(), frozenset())
    assert len(considered) == placement.SHOWN


def test_other_nodes_endpoints_are_used_when_the_own_one_is_ejected() -> None:
    made = places(endpoint("x"), endpoint("y", data_centre="b"))
    made.assign_owners({"a1#1": "a", "b1#1": "b"})
    assert made.owned == {"x"}
    assert chosen(made, chat()) == "x"
    made.unreachable("x")
    assert chosen(made, chat()) == "y"


def test_another_nodes_endpoint_is_used_only_by_a_fresh_report_of_little_load() -> None:
    made = places(endpoint("x", capacity=1), endpoint("y", data_centre="b"))
    made.assign_owners({"a1#1": "a", "b1#1": "b"})
    made.started("x", 0)
    assert chosen(made, chat()) == ""
    made.report(data.LoadReport("y", 1, 0))
    assert chosen(made, chat()) == "y"
    made.report(data.LoadReport("y", 7, 0))
    assert chosen(made, chat()) == ""
