"""Failure rates of servers and the penalties for them."""

from datetime import timedelta
from random import Random

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.reliability import ServerReliability

CALLS = 200
CALL_INTERVAL = timedelta(milliseconds=50)
# A longer wait makes a call with an objective of 400 ms leave its region.
MAX_LOCAL_WAIT = timedelta(milliseconds=240)


@pytest.mark.parametrize(
    ('failed_fraction', 'is_late'),
    [(0, False), (0.14, False), (0.6, True), (1, True)],
)
def test_only_failure_rates_above_the_normal_one_are_penalized(
    failed_fraction,
    is_late,
):
    """A healthy server that fails some calls must keep its calls."""
    clock = ManualClock()
    reliability = ServerReliability(clock)
    random = Random(7)
    late = 0
    for _ in range(CALLS):
        clock.advance(CALL_INTERVAL)
        late += reliability.compute_penalty('one') > MAX_LOCAL_WAIT
        reliability.record_outcome(
            'one',
            has_failed=random.random() < failed_fraction,
        )
    assert (late > CALLS / 2) == is_late
    if not is_late:
        assert not late


def test_the_failure_rate_decays_over_time():
    """A server that has recovered must get calls again."""
    clock = ManualClock()
    reliability = ServerReliability(clock)
    for _ in range(CALLS):
        reliability.record_outcome('one', has_failed=True)
    clock.advance(timedelta(seconds=30))
    assert not reliability.compute_penalty('one')


def test_a_server_is_suspected_until_a_health_check_passes():
    """A restarted server may be cold and must not get calls at once."""
    reliability = ServerReliability(ManualClock())
    reliability.suspect('one', 'not reached')
    assert reliability.suspected == {'one'}
    reliability.clear('one')
    assert not reliability.suspected
