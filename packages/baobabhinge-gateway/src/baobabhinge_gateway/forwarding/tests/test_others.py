from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.others import OtherRegions

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
    others = OtherRegions(clock)
    for gateway, shut in told.items():
        others.hear(gateway, 'east', shut)
    clock.advance(pause_ms * MILLISECOND)
    assert ('one' in others.list_shut()) == is_shut


def test_a_gateway_that_tells_no_more_shuts_no_more():
    others = OtherRegions(ManualClock())
    others.hear('two', 'east', ['one'])
    others.hear('two', 'east', [])
    assert not others.list_shut()


def test_a_region_that_is_silent_is_not_heard():
    clock = ManualClock()
    others = OtherRegions(clock)
    others.hear('two', 'east', [])
    clock.advance(1000 * MILLISECOND)
    others.hear('three', 'south', [])
    assert others.list_heard() == {'east', 'south'}
    clock.advance(1001 * MILLISECOND)
    assert others.list_heard() == {'south'}
