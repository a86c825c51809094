from datetime import timedelta

import pytest

from baobabhinge_coordination.store import (
    StoredValue,
    StoreThrottledError,
    StoreUnavailableError,
)
from baobabhinge_coordination.store.retrying import RetryingStore


class Limited:
    """A service that refuses as many calls as it is told to."""

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
            raise self.failure('no')


class Pauses:
    def __init__(self):
        self.total = timedelta()

    async def pause(self, duration):
        self.total += duration


@pytest.mark.parametrize('method', ['read', 'swap'])
@pytest.mark.parametrize('refusals', [0, 1, 5])
async def test_limited_calls_are_made_again(method, refusals):
    service = Limited(refusals)
    pauses = Pauses()
    store = RetryingStore(service, pauses.pause)
    if method == 'read':
        assert (await store.read('k')).key == 'k'
    else:
        assert await store.swap('k', b'', 0)
    assert service.calls == refusals + 1
    assert bool(pauses.total) is bool(refusals)


@pytest.mark.parametrize(
    ('refusals', 'failure', 'calls'),
    [(1000, StoreThrottledError, 31), (1, StoreUnavailableError, 1)],
)
async def test_other_failures_and_endless_limits_are_told(
    refusals,
    failure,
    calls,
):
    service = Limited(refusals, failure)
    with pytest.raises(failure):
        await RetryingStore(service, Pauses().pause).read('k')
    assert service.calls == calls
