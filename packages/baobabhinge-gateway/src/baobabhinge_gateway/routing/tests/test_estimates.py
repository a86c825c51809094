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
    ('report', 'in_flight', 'growth', 'requests', 'queue'),
    [
        (None, 3, 0, 3, 0),
        (StubLoadReport(2, 0), 0, 0, 2, 0),
        (StubLoadReport(4, 0), 0, 0, 4, 1),
        (StubLoadReport(4, 2), 5, 3, 9, 6),
        (StubLoadReport(4, 2), 0, -3, 3, 0),
        (StubLoadReport(0, 0), 2, -3, 2, 0),
    ],
)
def test_lagged_report_is_corrected(report, in_flight, growth, requests, queue):
    """Calls sent after a report count, and own calls are a lower bound."""
    occupancy = estimate_occupancy(report, in_flight, growth)
    assert (occupancy.requests, occupancy.queue) == (requests, queue)


def test_past_counts_of_calls_in_flight():
    """`count_before` gives the count at an earlier time."""
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


def test_peak_average_rises_at_once_and_decays():
    """A higher sample replaces the average; it halves in each half-life."""
    clock = ManualClock()
    average = PeakAverage(clock, SECOND)
    average.add(8 * SECOND)
    assert average.read() == 8 * SECOND
    clock.advance(SECOND)
    assert average.read() == 4 * SECOND
    average.add(2 * SECOND)
    assert average.read() == 5 * SECOND


@pytest.mark.parametrize(
    ('objective', 'local_first', 'leaves'),
    [
        (Objective('dealers', None, 10, 80, 10), 1, False),
        (Objective('dealers', None, 10, 80, 10), 2, True),
        (Objective('planners', None, 40, 20, 40), 2, False),
        (Objective('planners', None, 40, 20, 40), 8, True),
    ],
)
def test_weights_decide_when_to_leave_the_region(
    objective, local_first, leaves
):
    """The more a service weighs latency, the sooner its calls leave."""
    local = score_candidate(objective, local_first * SECOND, is_remote=False)
    remote = score_candidate(objective, SECOND / 5, is_remote=True)
    assert (remote < local) is leaves


def test_other_gateways_are_assumed_to_send_as_much():
    """Each other gateway of the region adds the mean of the own growth.

    Otherwise all gateways would send to the server that reported idle.
    """
    harness = PolicyHarness()
    harness.loads.reports = {
        'w1': StubLoadReport(0, 0),
        'w2': StubLoadReport(0, 0),
    }
    targets = [make_target('w1'), make_target('w2')]
    with harness.tracker.in_flight.track('w1'):
        estimates = harness.estimator.estimate(targets)
    assert [estimate.requests for estimate in estimates] == [2, 0]
    with ExitStack() as stack:
        for _ in range(4):
            stack.enter_context(harness.tracker.in_flight.track('w1'))
        estimates = harness.estimator.estimate(targets)
    assert [estimate.requests for estimate in estimates] == [6, 2]
