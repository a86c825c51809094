from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.routing.hysteresis import SpilloverSwitch

LIMIT = timedelta(seconds=1)


@pytest.mark.parametrize(
    ('steps', 'is_on'),
    [
        ([0.9], False),
        ([1.1], True),
        ([1.1, 0.9, 0.9, 0.9, 0.9], True),
        ([1.1, 0.4], True),
        ([1.1, 0.4, 0.4], True),
        ([1.1, 0.4, 0.4, 0.4], False),
        ([1.1, 0.4, 0.9, 0.4, 0.4], True),
        ([1.1, 0.4, 0.4, 0.4, 1.1], True),
    ],
)
def test_switch_stays_on_until_times_stay_low(steps, is_on):
    """One low expected time must not turn the switch off: it would flap."""
    clock = ManualClock()
    switch = SpilloverSwitch(clock)
    states = []
    for first in steps:
        states.append(switch.update(first * LIMIT, LIMIT))
        clock.advance(LIMIT)
    assert states[-1] is is_on
