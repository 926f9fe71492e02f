"""Services that announce that they bear few rejections."""

from plumarch.core import clock
from plumarch.limits import fragile_services


def test_a_service_is_fragile_until_some_time_after_the_last_announcement():
    now = clock.ManualClock(100_000)
    services = fragile_services.FragileServices(now)
    assert services.announced("s", 3.0)
    assert not services.announced("s", 2.0)
    assert services.rejections_per_s("s") in (2.0, 3.0)
    now.advance_to(now.now() + fragile_services.RETENTION_MS + 1)
    assert not services.is_fragile("s")
    assert services.announced("s", 3.0)


def test_an_older_report_changes_nothing():
    now = clock.ManualClock(100_000)
    services = fragile_services.FragileServices(now)
    services.announced("s", 3.0)
    assert not services.announced("s", 9.0, age_ms=500)
    assert services.rejections_per_s("s") == 3.0
    assert not services.announced("t", 9.0, age_ms=fragile_services.RETENTION_MS + 1)
    assert not services.is_fragile("t")


def test_the_number_of_services_is_bounded():
    now = clock.ManualClock(100_000)
    services = fragile_services.FragileServices(now)
    for number in range(3 * fragile_services.MAX_SERVICES):
        now.advance_to(now.now() + 1)
        services.announced(f"s{number}", 1.0)
    assert len(services.known) <= fragile_services.MAX_SERVICES
    assert services.is_fragile(f"s{3 * fragile_services.MAX_SERVICES - 1}")
