from datetime import timedelta

import pytest

from baobabhinge_caller.attempts import Attempts
from baobabhinge_caller.entry_cache import EntryCache
from baobabhinge_caller.messages import EntryGateway, EntryList, Problem
from baobabhinge_coordination.clock import ManualClock


class ScriptedEntryCache(EntryCache):
    """Cache whose gateways give the answers set by the test."""

    async def _fetch_entries(self, address):
        self.queried.append(address)
        return self.answers.get(address)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def cache(clock):
    cache = ScriptedEntryCache(None, ['seed-1', 'seed-2'], clock)
    entries = [
        EntryGateway('g1', 'west', 'g1'),
        EntryGateway('g2', 'west', 'g2'),
    ]
    cache.queried = []
    cache.answers = {'seed-2': EntryList(5, entries)}
    return cache


async def test_entries_are_fetched_again_when_they_expire(cache, clock):
    assert (await cache.list_addresses())[:2] == ['g1', 'g2']
    assert cache.queried == ['seed-1', 'seed-2']
    await cache.list_addresses()
    assert len(cache.queried) == 2
    clock.advance(timedelta(seconds=5))
    await cache.list_addresses()
    assert len(cache.queried) > 2


async def test_suggested_gateways_apply_only_to_the_refused_call(cache):
    refused = Attempts(cache, is_repeatable=True)
    assert await refused.choose() == 'g1'
    suggested = (EntryGateway('e1', 'east', 'e1'),)
    refusal = Problem('wrong-region', 'not-run', '', 421, 0, suggested)
    await refused.record_failure(refusal)
    assert await refused.choose() == 'e1'
    other = Attempts(cache, is_repeatable=True)
    assert await other.choose() == 'g1'
