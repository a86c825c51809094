from datetime import timedelta
from random import Random

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.reliability import ServerReliability

CALLS = 200
PAUSE = timedelta(milliseconds=50)
# Beyond it a call of an objective of 400 ms leaves its region.
LATE = timedelta(milliseconds=240)


@pytest.mark.parametrize(
    ('failed_share', 'is_late'),
    [(0, False), (0.14, False), (0.6, True), (1, True)],
)
def test_only_servers_that_fail_more_than_sound_ones_look_slow(
    failed_share,
    is_late,
):
    clock = ManualClock()
    trust = ServerReliability(clock)
    random = Random(7)
    late = 0
    for _ in range(CALLS):
        clock.advance(PAUSE)
        late += trust.compute_penalty('one') > LATE
        trust.record_outcome('one', has_failed=random.random() < failed_share)
    assert (late > CALLS / 2) == is_late
    if not is_late:
        assert not late


def test_failures_are_forgotten():
    clock = ManualClock()
    trust = ServerReliability(clock)
    for _ in range(CALLS):
        trust.record_outcome('one', has_failed=True)
    clock.advance(timedelta(seconds=30))
    assert not trust.compute_penalty('one')


def test_a_suspected_server_waits_for_a_good_check():
    trust = ServerReliability(ManualClock())
    trust.suspect('one', 'not reached')
    assert trust.suspected == {'one'}
    trust.clear('one')
    assert not trust.suspected
