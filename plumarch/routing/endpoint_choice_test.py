"""Choice of endpoints by load, data centre, prompt parts and reported loads."""

from plumarch.core import clock, hashing, traffic
from plumarch.routing import endpoint_choice


def endpoints(count: int, data_centre: str = "a") -> list[traffic.Endpoint]:
    return [
        traffic.Endpoint(f"e{number}", "s", "1:1", data_centre, 8, traffic.EndpointState.READY)
        for number in range(count)
    ]


def chooser() -> endpoint_choice.EndpointChooser:
    return endpoint_choice.EndpointChooser(clock.ManualClock(), "a")


PARTS = (traffic.PromptPart("aa", 2_000), traffic.PromptPart("bb", 3_000))


def test_without_candidates_there_is_no_choice():
    assert chooser().choose_plain([], 1) is None
    assert chooser().choose_engine([], PARTS, 5_500, 1) is None


def test_plain_requests_go_to_the_least_loaded():
    found = chooser()
    first = found.choose_plain(endpoints(2), 0)
    found.begin(first)
    second = found.choose_plain(endpoints(2), 0)
    assert first.endpoint.id != second.endpoint.id


def test_the_own_data_centre_is_preferred_until_it_is_loaded():
    found = chooser()
    near = endpoints(1, "a")
    far = [traffic.Endpoint("far", "s", "1:1", "b", 8, traffic.EndpointState.READY)]
    for _ in range(2):
        choice = found.choose_plain(far + near, 0)
        assert choice.endpoint.id == "e0"
        found.begin(choice)
    assert found.choose_plain(far + near, 0).endpoint.id == "far"


def test_all_nodes_send_the_same_parts_to_the_same_engine():
    chosen = {
        chooser().choose_engine(endpoints(5), PARTS, 5_500, seed).endpoint.id for seed in range(20)
    }
    assert len(chosen) == 1


def test_an_engine_that_was_sent_the_parts_keeps_them():
    found = chooser()
    everywhere = endpoints(5)
    usual = found.choose_engine(everywhere, PARTS, 5_500, 0)
    others = [one for one in everywhere if one.id != usual.endpoint.id]
    stand_in = found.choose_engine(others, PARTS, 5_500, 0)
    found.begin(stand_in, PARTS)
    found.end(stand_in, saw_first_token=True)
    again = found.choose_engine(others, PARTS, 5_500, 0)
    assert again.endpoint.id == stand_in.endpoint.id
    assert again.unread_tokens == 500


OWN = traffic.PromptPart("cc", 500)


def owners_of(parts: tuple[traffic.PromptPart, ...], candidates: list[traffic.Endpoint]):
    """Return the engines that hashing gives the last of some parts."""
    key = endpoint_choice.part_keys(parts)[-1]
    return hashing.rendezvous_top(key, [one.id for one in candidates], len(candidates))


def test_the_engine_that_owns_the_deepest_shared_part_is_chosen_though_others_own_earlier_ones():
    many = endpoints(40)
    for name in ("bb", "dd", "ee", "ff"):
        parts = (PARTS[0], traffic.PromptPart(name, 3_000))
        choice = chooser().choose_engine(many, (*parts, OWN), 5_500, 0)
        assert choice.endpoint.id == owners_of(parts, many)[0]
        assert choice.unread_tokens == 5_500 - endpoint_choice.OWNER_CACHE_FRACTIONS[0] * 5_000


def test_a_part_that_is_the_requests_own_has_no_owner():
    many = endpoints(40)
    chosen = {
        chooser().choose_engine(many, (*PARTS, traffic.PromptPart(name, 500)), 5_500, 0).endpoint.id
        for name in ("c1", "c2", "c3", "c4", "c5")
    }
    assert len(chosen) == 1


def test_the_second_owner_is_chosen_when_the_first_is_loaded():
    many = endpoints(40)
    first, second = owners_of(PARTS, many)[:2]
    found = chooser()
    found.report_loads("other", {first: endpoint_choice.Load(3, 20_000.0)})
    assert found.choose_engine(many, (*PARTS, OWN), 5_500, 0).endpoint.id == second


def test_a_busy_owner_is_avoided():
    found = chooser()
    usual = found.choose_engine(endpoints(5), PARTS, 5_500, 0)
    found.report_loads("other", {usual.endpoint.id: endpoint_choice.Load(3, 20_000.0)})
    assert found.choose_engine(endpoints(5), PARTS, 5_500, 0).endpoint.id != usual.endpoint.id


def test_a_part_counts_only_behind_the_parts_before_it():
    first, second = endpoint_choice.part_keys(PARTS)
    assert [first, second] != endpoint_choice.part_keys(PARTS[::-1])
    assert endpoint_choice.part_keys(PARTS[1:]) != [second]


def test_no_load_remains_when_all_requests_have_ended():
    found = chooser()
    choice = found.choose_engine(endpoints(2), PARTS, 5_500, 0)
    found.begin(choice, PARTS)
    found.begin(choice, PARTS)
    found.first_token(choice)
    found.end(choice, saw_first_token=True)
    found.end(choice, saw_first_token=False)
    assert found.own == {}


def test_the_sum_of_reported_loads_follows_each_report():
    found = chooser()
    found.report_loads(
        "x", {"e0": endpoint_choice.Load(2, 100.0), "e1": endpoint_choice.Load(1, 50.0)}
    )
    found.report_loads("y", {"e0": endpoint_choice.Load(3, 10.0)})
    assert found.load("e0") == endpoint_choice.Load(5, 110.0)
    found.report_loads("x", {"e1": endpoint_choice.Load(4, 0.0)})
    assert found.load("e0") == endpoint_choice.Load(3, 10.0)
    assert found.running("e1") == 4
    found.report_load("y", "e1", endpoint_choice.Load(1, 70.0))
    found.report_load("y", "e1", endpoint_choice.Load(1, 60.0))
    assert found.load("e1") == endpoint_choice.Load(5, 60.0)
    found.forget("x")
    found.forget("y")
    found.forget("y")
    assert found.others == {}
    assert endpoint_choice.Load() == endpoint_choice.NO_LOAD
