"""Limits of the decision log, with a reader that is slow or gone."""

import json
import os

from plumarch.core import clock
from plumarch.gateway import decision_log


def log_into(descriptor: int, time: clock.ManualClock) -> decision_log.DecisionLog:
    return decision_log.DecisionLog(time, "a", descriptor=descriptor, lines_per_s=10)


def test_writes_do_not_block_when_the_reader_stops_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    time = clock.ManualClock()
    log = log_into(writer, time)
    written = 0
    while not log.dropped_total:
        time.advance_to(time.now() + 1_000)
        log.write("x", text="y" * 20_000)
        log.flush()
        written += 1
        assert written < 1_000
    assert len(log.pending) < 2 * decision_log.PENDING_BYTES
    received = b""
    while log.pending:
        received += os.read(reader, 1 << 20)
        log.flush()
    log.write("later")
    log.flush()
    received += os.read(reader, 1 << 20)
    last = json.loads(received.splitlines()[-1])
    assert last["kind"] == "later"
    assert last["lines_dropped_before"] == log.dropped_total
    os.close(reader)
    os.close(writer)


def test_lines_above_the_rate_limit_are_dropped_except_urgent_ones():
    time = clock.ManualClock()
    log = log_into(1, time)
    for _ in range(25):
        log.write("x")
    log.write("important", urgent=True)
    lines = [json.loads(line) for line in bytes(log.pending).splitlines()]
    assert len(lines) == 11
    assert lines[-1]["kind"] == "important"
    assert lines[-1]["lines_dropped_before"] == 15


def test_a_closed_output_drops_the_lines():
    reader, writer = os.pipe()
    os.close(reader)
    log = log_into(writer, clock.ManualClock())
    log.write("x")
    log.flush()
    assert not log.pending
    os.close(writer)
