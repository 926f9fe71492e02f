import collections

from plumarch.core import data
from plumarch.routing import ownership


def endpoints(count: int) -> list[data.Endpoint]:
    return [
        data.Endpoint(f"{centre}-{n}", centre, data.EndpointKind.ENGINE, "", ("writer",))
        for centre in "abc"
        for n in range(count)
    ]


NODES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b", "c1": "c", "c2": "c"}


def test_every_endpoint_has_one_owner_and_shares_are_even() -> None:
    found = ownership.owners(endpoints(10), NODES)
    counts = collections.Counter(found.values())
    assert len(found) == 30
    assert sorted(counts.values()) == [3, 3, 4, 4, 4, 4, 4, 4]


def test_owners_are_in_the_same_data_centre_as_far_as_shares_stay_even() -> None:
    found = ownership.owners(endpoints(10), NODES)
    far = [name for name, node in found.items() if NODES[node] != name[0]]
    assert len(far) <= 2
    assert all(name.startswith("c") for name in far)


def test_the_order_of_endpoints_and_nodes_does_not_matter() -> None:
    turned = dict(reversed(NODES.items()))
    assert ownership.owners(endpoints(10)[::-1], turned) == ownership.owners(endpoints(10), NODES)


def test_without_nodes_nothing_is_owned() -> None:
    assert ownership.owners(endpoints(1), {}) == {}
