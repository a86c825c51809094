from contextlib import ExitStack

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.admission import (
    Quotas,
    WorkspaceShares,
    build_limit_report,
)
from baobabhinge_gateway.admission.tests.test_quotas import (
    BUSY,
    FAST,
    SECOND,
    admit,
)
from baobabhinge_gateway.callers.usage import UNKNOWN_WORKSPACE, list_shares
from baobabhinge_gateway.routing.tests.builders import make_call


@pytest.mark.parametrize(
    ('limit', 'open_calls', 'in_flight', 'rate', 'refused'),
    [
        (BUSY, 0, 0, 0, 0),
        (BUSY, 2, 2, 0, 0),
        (BUSY, 4, 2, 0, 1),
        (FAST, 1, 1, 1, 0),
        (FAST, 5, 2, 2, 1),
    ],
)
def test_limit_report(limit, open_calls, in_flight, rate, refused):
    """The report shows the limit, its usage and the refused calls."""
    quotas = Quotas(ManualClock())
    with ExitStack() as stack:
        for _ in range(min(open_calls, 2)):
            stack.enter_context(quotas.track([limit]))
        if open_calls > 2:
            admit(quotas, [limit], 1)
        report = build_limit_report(limit, quotas.measure(limit))
    assert report.in_flight_allowed == limit.in_flight
    assert report.calls_per_second_allowed == limit.rate
    assert report.in_flight == in_flight
    assert report.calls_per_second == rate
    assert report.refused == refused
    assert quotas.measure(limit).in_flight == 0


def test_reported_rate_falls_with_time():
    """Calls older than a second must not be reported as current rate."""
    clock = ManualClock()
    quotas = Quotas(clock)
    admit(quotas, [FAST], 2)
    clock.advance(SECOND / 2)
    assert quotas.measure(FAST).rate == 1


def test_shares_hide_workspaces_unknown_to_the_settings():
    """A workspace name that only a caller wrote must not reach `/v1/status`."""
    shares = WorkspaceShares()
    with ExitStack() as stack:
        for workspace in ('text of a caller', '', 'text of a caller'):
            call = make_call(workspace=workspace)
            stack.enter_context(shares.track(call))
        listed = list_shares(shares, None)
    assert [(share.workspace, share.in_flight) for share in listed] == [
        (UNKNOWN_WORKSPACE, 2),
        ('', 1),
    ]
    assert {share.in_flight_allowed for share in listed} == {1.5}
    assert not list_shares(shares, None)
