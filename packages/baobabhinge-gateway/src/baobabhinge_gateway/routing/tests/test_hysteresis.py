from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.routing.hysteresis import SpilloverSwitch

GOAL = timedelta(seconds=1)


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
def test_switch_holds_until_a_calm_while(steps, is_on):
    clock = ManualClock()
    switch = SpilloverSwitch(clock)
    states = []
    for first in steps:
        states.append(switch.update(first * GOAL, GOAL))
        clock.advance(GOAL)
    assert states[-1] is is_on
