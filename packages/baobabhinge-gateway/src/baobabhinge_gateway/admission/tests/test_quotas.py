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
    """Open ``times`` calls; return the retry delay of a refusal, or None."""
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
def test_calls_beyond_a_limit_are_refused(limits, times, is_refused):
    """Limits on calls in flight and on rates hold for calls at one time."""
    retry_after = admit(Quotas(ManualClock()), limits, times)
    assert (retry_after is not None) is is_refused


def test_ended_calls_are_not_counted():
    """A call that ended must not use up the limit on calls in flight."""
    quotas = Quotas(ManualClock())
    assert {admit(quotas, [BUSY], 2) for _ in range(5)} == {None}


def test_rate_refills_and_refusal_gives_the_delay():
    """The retry delay of a refusal is the time until the next token."""
    clock = ManualClock()
    quotas = Quotas(clock)
    assert admit(quotas, [FAST], 3) == SECOND / 2
    assert admit(quotas, [FAST], 1) == SECOND / 2
    clock.advance(SECOND / 2)
    assert admit(quotas, [FAST], 1) is None


def test_refused_call_is_not_counted():
    """A call refused by one limit must use up none of the others."""
    quotas = Quotas(ManualClock())
    with quotas.track([BUSY]), quotas.track([BUSY]):
        assert admit(quotas, [FAST, BUSY], 1) is not None
    assert admit(quotas, [FAST], 2) is None
