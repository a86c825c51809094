import msgspec
import pytest

from baobabhinge_operator.queries import gateways
from baobabhinge_operator.queries.answers import (
    Entry,
    EntryList,
    GatewayStatus,
)

LISTED = EntryList(
    5, [Entry('g1', 'west', 'link-1'), Entry('g2', 'west', 'a2')]
)
STATES = {'g1': 'alive', 'g2': 'alive', 'g3': 'draining'}
STATUSES = {
    'link-1': GatewayStatus('g1', 'west', 4, gateways=STATES),
    'direct-1': GatewayStatus('g1', 'west', 4, gateways=STATES),
    'a2': GatewayStatus('g2', 'west', 4, gateways=STATES),
    'a3': GatewayStatus('g3', 'west', 3, draining=True, gateways=STATES),
}


@pytest.fixture(autouse=True)
def answers(monkeypatch):
    async def fetch(address, path):
        return msgspec.json.encode(STATUSES[address])

    async def fetch_first(addresses, path):
        return msgspec.json.encode(LISTED)

    monkeypatch.setattr(gateways, 'fetch', fetch)
    monkeypatch.setattr(gateways, 'fetch_first', fetch_first)


@pytest.mark.parametrize(
    ('given', 'third'),
    [
        ('direct-1', 'g3 west: generation 0, no entry for callers, draining'),
        ('a2', 'g3 west: generation 0, no entry for callers, draining'),
        (
            'direct-1,a3',
            'g3 west: generation 3, no entry for callers, draining, draining',
        ),
    ],
)
async def test_each_gateway_is_shown_once(given, third):
    shown = await gateways.status(gateway=given)
    assert shown.split('\n') == [
        'g1 west: generation 4',
        'g2 west: generation 4',
        third,
    ]
