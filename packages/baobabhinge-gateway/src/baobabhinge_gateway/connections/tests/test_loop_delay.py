"""Time for which requests can have waited for the event loop.

Guards against deadlines that begin when a late process reads a request.
"""

from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.connections.loop_delay import (
    LoopDelay,
    measure_overrun,
)
from baobabhinge_gateway.overload.busy_time import MeteredSelector

MS = timedelta(milliseconds=1)


@pytest.mark.parametrize(
    ('runs_ms', 'is_new', 'delay_ms'),
    [
        ([], True, 0),
        ([5], False, 5),
        # The run in which the process was frozen, and those after it.
        ([1000, 1, 2, 3], False, 1006),
        ([1000, 1, 2, 3, 4], False, 10),
        ([1000, 1, 2, 3, 4], True, 1010),
        ([1000, 1, 2, 3, 4, 5, 6, 7], True, 28),
    ],
)
def test_a_request_has_waited_for_the_runs_before_its_handler(
    runs_ms, is_new, delay_ms
):
    delay = LoopDelay()
    for duration in runs_ms:
        delay.record_run(duration * MS)
    assert delay.read(is_new=is_new) == delay_ms * MS


@pytest.mark.parametrize(
    ('waited_ms', 'timeout', 'overrun_ms'),
    [
        (900, None, 0),
        (100, 0.3, 0),
        (310, 0.3, 0),
        (1300, 0.3, 1300),
        (2, 0, 0),
        (200, -1, 200),
    ],
)
def test_a_poll_that_overran_has_delayed_the_loop(
    waited_ms, timeout, overrun_ms
):
    assert measure_overrun(waited_ms * MS, timeout) == overrun_ms * MS


def test_the_work_between_two_polls_is_a_delay():
    clock = ManualClock()
    selector = MeteredSelector(clock)
    selector.select(0)
    clock.advance(30 * MS)
    selector.select(0)
    assert selector.delay.read(is_new=False) == 30 * MS
    selector.close()
