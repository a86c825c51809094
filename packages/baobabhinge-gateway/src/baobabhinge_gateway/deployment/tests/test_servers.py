from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import BackendServer, ServerCatalogue

SERVER = BackendServer('one', 'ledger', '127.0.0.1:1', 'west-a')


@pytest.mark.parametrize(
    ('has_failed', 'delay_ms', 'is_listed'),
    [
        (False, 0, False),
        (True, 0, True),
        (True, 2400, True),
        (True, 2500, False),
    ],
)
def test_an_entry_removed_in_a_store_outage_is_kept_for_the_retention_time(
    has_failed,
    delay_ms,
    is_listed,
):
    clock = ManualClock()
    catalogue = ServerCatalogue(clock)
    catalogue.put(SERVER)
    if has_failed:
        catalogue.record_store_failure()
    catalogue.remove('one')
    clock.advance(timedelta(milliseconds=delay_ms))
    assert bool(catalogue.list_usable('ledger')) == is_listed


def test_an_entry_that_returns_within_the_retention_time_stays():
    clock = ManualClock()
    catalogue = ServerCatalogue(clock)
    catalogue.put(SERVER)
    catalogue.record_store_failure()
    catalogue.remove('one')
    assert not catalogue.put(SERVER)
    clock.advance(timedelta(seconds=10))
    assert catalogue.list_all() == [SERVER]


def test_a_leaving_server_gets_no_new_calls():
    catalogue = ServerCatalogue(ManualClock())
    catalogue.put(SERVER)
    leaving = BackendServer(
        'one',
        'ledger',
        '127.0.0.1:1',
        'west-a',
        is_leaving=True,
    )
    assert catalogue.put(leaving)
    assert not catalogue.list_usable('ledger')
    assert catalogue.list_all() == [leaving]
