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


@pytest.mark.parametrize(
    ('limits', 'admitted'),
    [([], 5), ([BUSY], 2), ([FAST], 2), ([BUSY, Limit('one', rate=1)], 1)],
)
def test_calls_at_once(limits, admitted):
    quotas = Quotas(ManualClock())
    with ExitStack() as stack:
        for _ in range(admitted):
            stack.enter_context(quotas.track(limits))
        if limits:
            with pytest.raises(LimitReachedError):
                stack.enter_context(quotas.track(limits))


def test_ended_calls_make_room():
    quotas = Quotas(ManualClock())
    for _ in range(5):
        with quotas.track([BUSY]):
            pass


def test_rate_refills_with_time_and_says_when():
    clock = ManualClock()
    quotas = Quotas(clock)
    for _ in range(2):
        with quotas.track([FAST]):
            pass
    with pytest.raises(LimitReachedError) as refused:
        quotas.track([FAST]).__enter__()
    assert refused.value.retry_after == SECOND / 2
    clock.advance(refused.value.retry_after)
    with quotas.track([FAST]):
        pass


def test_refused_call_counts_nowhere():
    quotas = Quotas(ManualClock())
    with quotas.track([BUSY]), quotas.track([BUSY]):
        for _ in range(3):
            with pytest.raises(LimitReachedError):
                quotas.track([FAST, BUSY]).__enter__()
    with quotas.track([FAST]), quotas.track([FAST]):
        pass
