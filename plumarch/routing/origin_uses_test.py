"""What the list of origins says of a route's streams."""

from plumarch.routing import origin_uses, stream_origins

NOW_MS = 1_700_000_000_000
WITHIN_MS = 30_000
LATE_MS = WITHIN_MS + origin_uses.CLOCK_TOLERANCE_MS + 1
V1, V2 = stream_origins.Origin("s", "v1"), stream_origins.Origin("s", "v2")


def used(route: str, origin: stream_origins.Origin) -> stream_origins.RouteOrigin:
    return stream_origins.RouteOrigin(route, origin)


FIRST = origin_uses.OriginUses(0, 0).with_begun([used("r", V1)])


def sole(uses: origin_uses.OriginUses, at_ms: int = NOW_MS) -> stream_origins.Origin | None:
    return uses.sole("r", at_ms, WITHIN_MS)


def test_one_origin_is_sole_and_another_one_ends_that_until_it_is_long_over():
    assert sole(FIRST) == V1
    mixed = FIRST.with_begun([used("r", V2)])
    assert sole(mixed) is None
    over = mixed.with_ended([used("r", V1)], NOW_MS)
    assert sole(over) is None
    assert sole(over, NOW_MS + LATE_MS) == V2
    assert sole(over.with_begun([used("r", V1)]), NOW_MS + LATE_MS) is None


def test_origins_of_other_routes_and_unlisted_routes_say_nothing():
    uses = FIRST.with_begun([used("other", V2)])
    assert sole(uses) == V1
    assert uses.sole("unlisted", NOW_MS, WITHIN_MS) is None


def test_a_list_that_began_lately_may_lack_origins():
    uses = origin_uses.OriginUses(NOW_MS, 0).with_begun([used("r", V1)])
    assert sole(uses) is None
    assert sole(uses, NOW_MS + LATE_MS - 1) is None
    assert sole(uses, NOW_MS + LATE_MS) == V1


def test_an_origin_is_in_use_until_its_use_ends():
    assert FIRST.is_in_use(used("r", V1)) and not FIRST.is_in_use(used("r", V2))
    ended = FIRST.with_ended([used("r", V1)], NOW_MS)
    assert not ended.is_in_use(used("r", V1)) and ended.in_use() == []
    assert ended.with_begun([used("r", V1)]).in_use() == [used("r", V1)]


def test_old_origins_are_dropped_and_a_list_that_grows_too_long_is_not_trusted():
    ended = FIRST.with_ended([used("r", V1)], NOW_MS)
    assert ended.pruned(NOW_MS) == ended
    assert ended.pruned(NOW_MS + origin_uses.RETENTION_MS).by_route == {}
    many = [used(f"r{number}", V1) for number in range(origin_uses.MAX_USES + 1)]
    pruned = FIRST.with_begun(many).pruned(NOW_MS)
    assert pruned == origin_uses.OriginUses(NOW_MS, 0)
    assert sole(pruned.with_begun([used("r", V1)]), NOW_MS + 1) is None
