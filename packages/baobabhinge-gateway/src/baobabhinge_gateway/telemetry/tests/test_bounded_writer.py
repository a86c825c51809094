import json
import os
from datetime import timedelta

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.telemetry.bounded_writer import (
    MAX_BURST_LINES,
    MAX_LINES_PER_SECOND,
    BoundedWriter,
)


def read_lines(reader):
    return os.read(reader, 1 << 20).decode().splitlines()


def test_lines_over_the_rate_are_dropped_and_counted():
    """The next line that is written is followed by the number of drops."""
    reader, writer = os.pipe()
    clock = ManualClock()
    bounded = BoundedWriter(clock, writer)
    for _ in range(MAX_BURST_LINES + 5):
        bounded.info('{}')
    assert len(read_lines(reader)) == MAX_BURST_LINES
    assert bounded.dropped == 5
    clock.advance(timedelta(seconds=1 / MAX_LINES_PER_SECOND))
    bounded.error('{}')
    last = read_lines(reader)[-1]
    assert json.loads(last) == {'event': 'lines-dropped', 'count': 5}
    assert not bounded.dropped


def test_full_pipe_does_not_block_the_process():
    """A log reader that hangs must cost lines, not calls."""
    _, writer = os.pipe()
    bounded = BoundedWriter(ManualClock(), writer)
    for _ in range(MAX_BURST_LINES):
        bounded.info('x' * 1000)
    assert bounded.dropped
