from contextlib import ExitStack
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.routing.averages import PeakAverage
from baobabhinge_gateway.routing.in_flight import InFlightCounter
from baobabhinge_gateway.routing.loads import estimate_occupancy
from baobabhinge_gateway.routing.objective import score_candidate
from baobabhinge_gateway.routing.tests.builders import (
    PolicyHarness,
    StubLoadReport,
    make_target,
)
from baobabhinge_settings.model import Objective

SECOND = timedelta(seconds=1)


@pytest.mark.parametrize(
    ('report', 'now', 'grown', 'requests', 'queue'),
    [
        (None, 3, 0, 3, 0),
        (StubLoadReport(2, 0), 0, 0, 2, 0),
        (StubLoadReport(4, 0), 0, 0, 4, 1),
        (StubLoadReport(4, 2), 5, 3, 9, 6),
        (StubLoadReport(4, 2), 0, -3, 3, 0),
        (StubLoadReport(0, 0), 2, -3, 2, 0),
    ],
)
def test_lagged_report_is_corrected(report, now, grown, requests, queue):
    occupancy = estimate_occupancy(report, now, grown)
    assert (occupancy.requests, occupancy.queue) == (requests, queue)


def test_past_counts_follow_the_clock():
    clock = ManualClock()
    in_flight = InFlightCounter(clock)
    with in_flight.track('vm'):
        clock.advance(SECOND)
        with in_flight.track('vm'):
            clock.advance(SECOND / 10)
            assert in_flight.count('vm') == 2
            assert in_flight.count_before('vm', SECOND / 2) == 1
            assert in_flight.count_before('vm', 2 * SECOND) == 0
    assert in_flight.count('vm') == 0


def test_peak_rises_at_once_and_fades():
    clock = ManualClock()
    average = PeakAverage(clock, SECOND)
    average.add(8 * SECOND)
    assert average.read() == 8 * SECOND
    clock.advance(SECOND)
    assert average.read() == 4 * SECOND
    average.add(2 * SECOND)
    assert average.read() == 5 * SECOND


@pytest.mark.parametrize(
    ('objective', 'home_first', 'leaves'),
    [
        (Objective('dealers', None, 10, 80, 10), 1, False),
        (Objective('dealers', None, 10, 80, 10), 2, True),
        (Objective('planners', None, 40, 20, 40), 2, False),
        (Objective('planners', None, 40, 20, 40), 8, True),
    ],
)
def test_weights_say_when_leaving_pays(objective, home_first, leaves):
    home = score_candidate(objective, home_first * SECOND, is_remote=False)
    away = score_candidate(objective, SECOND / 5, is_remote=True)
    assert (away < home) is leaves


def test_other_gateways_are_taken_to_send_as_much():
    world = PolicyHarness()
    world.loads.reports = {
        'w1': StubLoadReport(0, 0),
        'w2': StubLoadReport(0, 0),
    }
    targets = [make_target('w1'), make_target('w2')]
    with world.tracker.in_flight.track('w1'):
        estimates = world.estimator.estimate(targets)
    assert [estimate.requests for estimate in estimates] == [2, 0]
    with ExitStack() as stack:
        for _ in range(4):
            stack.enter_context(world.tracker.in_flight.track('w1'))
        estimates = world.estimator.estimate(targets)
    assert [estimate.requests for estimate in estimates] == [6, 2]
