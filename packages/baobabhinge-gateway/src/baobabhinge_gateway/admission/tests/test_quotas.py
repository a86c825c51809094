from contextlib import ExitStack
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.admission import Quotas
from baobabhinge_gateway.errors import LimitReachedError
from baobabhinge_settings.model import Limit

SECOND = timedelta(seconds=1)
BUSY = Limit('busy', in_flight=2)
FAST = Limit('fast', rate=2)


def admit(quotas, limits, times):
    """Open calls one after another and return the advice of the refusal."""
    with ExitStack() as stack:
        for _ in range(times):
            try:
                stack.enter_context(quotas.track(limits))
            except LimitReachedError as refused:
                return refused.retry_after
    return None


@pytest.mark.parametrize(
    ('limits', 'times', 'is_refused'),
    [
        ([], 5, False),
        ([BUSY], 2, False),
        ([BUSY], 3, True),
        ([FAST], 2, False),
        ([FAST], 3, True),
        ([BUSY, Limit('one', rate=1)], 2, True),
    ],
)
def test_calls_at_once(limits, times, is_refused):
    advice = admit(Quotas(ManualClock()), limits, times)
    assert (advice is not None) is is_refused


def test_ended_calls_make_room():
    quotas = Quotas(ManualClock())
    assert {admit(quotas, [BUSY], 2) for _ in range(5)} == {None}


def test_rate_refills_with_time_and_says_when():
    clock = ManualClock()
    quotas = Quotas(clock)
    assert admit(quotas, [FAST], 3) == SECOND / 2
    assert admit(quotas, [FAST], 1) == SECOND / 2
    clock.advance(SECOND / 2)
    assert admit(quotas, [FAST], 1) is None


def test_refused_call_counts_nowhere():
    quotas = Quotas(ManualClock())
    with quotas.track([BUSY]), quotas.track([BUSY]):
        assert admit(quotas, [FAST, BUSY], 1) is not None
    assert admit(quotas, [FAST], 2) is None
