"""A peer is disconnected for reading nothing, never for reading slowly."""

from plumarch.limits import read_progress


def test_a_peer_that_reads_a_byte_now_and_then_never_stalls():
    progress = read_progress.ReadProgress(1_000)
    progress.begin(0, 0)
    assert not any(progress.stalled(number, 999.0 * number) for number in range(1, 1_000))


def test_a_peer_that_reads_nothing_stalls_after_the_limit():
    progress = read_progress.ReadProgress(1_000)
    progress.begin(5, 100)
    assert not progress.stalled(5, 1_099)
    assert progress.stalled(5, 1_100)


def test_the_time_without_anything_to_read_does_not_count():
    progress = read_progress.ReadProgress(1_000)
    progress.begin(0, 0)
    progress.begin(10, 60_000)
    assert not progress.stalled(10, 60_500)


def test_the_limit_starts_again_after_this_process_was_suspended():
    progress = read_progress.ReadProgress(10_000, 1_000)
    progress.begin(5, 0)
    assert not progress.stalled(5, 1_000)
    assert not progress.stalled(5, 30_000)
    looks = [progress.stalled(5, 30_000 + 1_000.0 * number) for number in range(1, 11)]
    assert looks == [False] * 9 + [True]
