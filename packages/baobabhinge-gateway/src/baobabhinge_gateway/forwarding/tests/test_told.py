from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.told import ToldShut

MILLISECOND = timedelta(milliseconds=1)


@pytest.mark.parametrize(
    ('told', 'pause_ms', 'is_shut'),
    [
        ({}, 0, False),
        ({'two': ['one']}, 0, True),
        ({'two': ['one']}, 2000, True),
        ({'two': ['one']}, 2001, False),
        ({'two': [], 'three': ['one']}, 0, True),
        ({'two': ['other']}, 0, False),
    ],
)
def test_a_server_that_another_region_finds_shut_is_shut_for_a_while(
    told,
    pause_ms,
    is_shut,
):
    clock = ManualClock()
    told_shut = ToldShut(clock)
    for gateway, shut in told.items():
        told_shut.hear(gateway, shut)
    clock.advance(pause_ms * MILLISECOND)
    assert ('one' in told_shut.list_shut()) == is_shut


def test_a_gateway_that_tells_no_more_shuts_no_more():
    told_shut = ToldShut(ManualClock())
    told_shut.hear('two', ['one'])
    told_shut.hear('two', [])
    assert not told_shut.list_shut()
