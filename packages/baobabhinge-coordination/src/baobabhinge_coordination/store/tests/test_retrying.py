from datetime import timedelta

import pytest

from baobabhinge_coordination.store import (
    StoredValue,
    StoreThrottledError,
    StoreUnavailableError,
)
from baobabhinge_coordination.store.retrying import RetryingStore


class RefusingService:
    """Service that refuses the first ``refusals`` calls."""

    def __init__(self, refusals, failure=StoreThrottledError):
        self.refusals = refusals
        self.failure = failure
        self.calls = 0

    async def read(self, key):
        self._count()
        return StoredValue(key, b'', 0)

    async def swap(self, key, body, expected):
        self._count()
        return True

    def _count(self):
        self.calls += 1
        if self.calls <= self.refusals:
            raise self.failure('refused')


class SleepRecorder:
    def __init__(self):
        self.total = timedelta()

    async def sleep(self, duration):
        self.total += duration


@pytest.mark.parametrize('method', ['read', 'swap'])
@pytest.mark.parametrize('refusals', [0, 1, 5])
async def test_throttled_calls_are_retried(method, refusals):
    service = RefusingService(refusals)
    sleeps = SleepRecorder()
    store = RetryingStore(service, sleeps.sleep)
    if method == 'read':
        assert (await store.read('k')).key == 'k'
    else:
        assert await store.swap('k', b'', 0)
    assert service.calls == refusals + 1
    assert bool(sleeps.total) is bool(refusals)


@pytest.mark.parametrize(
    ('refusals', 'failure', 'calls'),
    [(1000, StoreThrottledError, 31), (1, StoreUnavailableError, 1)],
)
async def test_other_failures_and_endless_throttling_are_raised(
    refusals,
    failure,
    calls,
):
    service = RefusingService(refusals, failure)
    with pytest.raises(failure):
        await RetryingStore(service, SleepRecorder().sleep).read('k')
    assert service.calls == calls
