from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.remote_regions import RemoteRegions

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
    others = RemoteRegions(clock)
    for gateway, shut in told.items():
        others.record(gateway, 'east', shut)
    clock.advance(pause_ms * MILLISECOND)
    assert ('one' in others.list_unavailable()) == is_shut


def test_a_gateway_that_tells_no_more_shuts_no_more():
    others = RemoteRegions(ManualClock())
    others.record('two', 'east', ['one'])
    others.record('two', 'east', [])
    assert not others.list_unavailable()


def test_a_region_that_is_silent_is_not_heard():
    clock = ManualClock()
    others = RemoteRegions(clock)
    others.record('two', 'east', [])
    clock.advance(1000 * MILLISECOND)
    others.record('three', 'south', [])
    assert others.list_live() == {'east', 'south'}
    clock.advance(1001 * MILLISECOND)
    assert others.list_live() == {'south'}
