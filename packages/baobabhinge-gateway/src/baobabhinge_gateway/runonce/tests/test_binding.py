"""Bindings of Idempotency-Keys when the key-value service fails."""

import asyncio
from datetime import timedelta
from random import Random

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import Release, ReleaseFile
from baobabhinge_coordination.runonce import DEFAULT_KEY_AGE, MintWindow
from baobabhinge_coordination.store import (
    StoreAnswerLostError,
    StoredValue,
    StoreUnavailableError,
)
from baobabhinge_gateway.calls import Call, CallTerms, Hop, HopList
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import CallError, Outcome
from baobabhinge_gateway.runonce.binding import KeyBinder
from baobabhinge_gateway.runonce.binding_sweeper import BindingSweeper
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_settings.model import Service, ServiceKind

FOLDER = """
[region west]
failure-domains = west-a
[region east]
failure-domains = east-a
[service ledger]
kind = plain
deadline = 5 s
[placement ledger west]
replicas = 1 vms
[placement ledger east]
replicas = 1 vms
"""
EVERYWHERE = frozenset(('west', 'east'))


class FakeStore:
    """Store whose reads and writes each take the next letter of ``faults``.

    ``u`` fails a write and ``r`` a read as unavailable, ``l`` loses the answer
    of a write after its effect, ``n`` loses it without effect, ``-`` does
    nothing.
    """

    def __init__(self, faults=''):
        self.rows = {}
        self.faults = list(faults)

    async def read(self, key):
        self._take_fault('r')
        body = self.rows.get(key, b'')
        return StoredValue(key, body, len(body))

    async def swap(self, key, body, expected):
        fault = self._take_fault('u')
        if fault == 'n':
            raise StoreAnswerLostError('no effect')
        done = key not in self.rows
        self.rows.setdefault(key, body)
        if fault == 'l':
            raise StoreAnswerLostError('effect')
        return done

    async def list_keys(self, prefix):
        return [name for name in self.rows if name.startswith(prefix)]

    async def delete(self, key, expected):
        return self.rows.pop(key, b'') and bool(expected)

    def _take_fault(self, failing):
        fault = self.faults.pop(0) if self.faults else '-'
        if fault == failing:
            raise StoreUnavailableError('down')
        return fault


def build_binder(store, vm='west-1'):
    clock = ManualClock()
    active = ActiveConfiguration()
    active.adopt(Release(1, (ReleaseFile('10.ini', FOLDER),)))
    key_state = KeyState(
        Hop(vm, 'west'), vm, clock, Random(vm), DEFAULT_KEY_AGE
    )
    key_state.mint.use_window(MintWindow(clock.read_monotonic()))
    return KeyBinder(store, key_state, active)


def build_call(regions=None, workspace=''):
    service = Service('ledger', ServiceKind.plain, timedelta(seconds=5))
    terms = CallTerms(timedelta(seconds=5), regions, workspace)
    hops = HopList((Hop('west-1', 'west'),))
    return Call('1', service, 'POST', '/trades/1', (), b'', terms, hops)


def bind(binder, call=None, key='mine'):
    return asyncio.run(binder.bind(call or build_call(), key))


@pytest.mark.parametrize(
    'faults',
    [
        pytest.param('', id='healthy'),
        pytest.param('l', id='answer lost, binding created'),
        pytest.param('n', id='answer lost, nothing created'),
        pytest.param('n-n', id='answer lost twice, nothing created'),
    ],
)
def test_two_gateways_bind_to_one_key(faults):
    """Guard against two run-once keys for one Idempotency-Key.

    The caller retries through other gateways after the first one got no
    answer from the store and may or may not have created the binding.
    """
    store = FakeStore(faults)
    try:
        first = bind(build_binder(store))
    except CallError as refused:
        assert refused.outcome is Outcome.unknown
        first = None
    second = bind(build_binder(store, 'west-2'))
    assert bind(build_binder(store, 'west-3')) == second
    assert first in {None, second}


@pytest.mark.parametrize('faults', ['u', 'lr', 'nr'])
def test_an_outage_leaves_the_outcome_unknown(faults):
    """Guard against ``not-run`` while an earlier attempt may have run."""
    with pytest.raises(CallError) as refused:
        bind(build_binder(FakeStore(faults)))
    assert refused.value.outcome is Outcome.unknown


@pytest.mark.parametrize(
    ('regions', 'is_bound'),
    [(None, False), (EVERYWHERE, False), (frozenset(('west',)), True)],
)
def test_no_binding_is_stored_for_a_region_bound_call(regions, is_bound):
    """Guard against data of a region-bound call in the shared store."""
    store = FakeStore()
    call = build_call(regions)
    if is_bound:
        with pytest.raises(CallError) as refused:
            bind(build_binder(store), call)
        assert refused.value.outcome is Outcome.unknown
    else:
        bind(build_binder(store), call)
    assert bool(store.rows) is not is_bound


def test_the_idempotency_key_is_not_stored():
    """Guard against plain Idempotency-Keys in the shared store."""
    store = FakeStore()
    bind(build_binder(store), key='dealer-secret')
    assert 'dealer-secret' not in f'{store.rows}'


def test_workspaces_have_separate_bindings():
    """Guard against one workspace getting the answer of another.

    Callers of two workspaces may send the same Idempotency-Key.
    """
    store = FakeStore()
    binder = build_binder(store)
    bind(binder, build_call(workspace='a'))
    bind(binder, build_call(workspace='b'))
    assert len(store.rows) == 2


def test_bindings_found_by_two_sweeps_are_removed():
    """Guard against bindings that are removed too early or never."""
    store = FakeStore()
    binder, sweeper = build_binder(store), BindingSweeper(store)

    async def sweep():
        for name in await sweeper.list_old():
            await sweeper.remove(name)
        return len(store.rows)

    first = bind(binder, key='first')
    assert asyncio.run(sweep()) == 1
    assert bind(binder, key='first') == first
    bind(binder, key='second')
    assert asyncio.run(sweep()) == 1
    assert asyncio.run(sweep()) == 0
