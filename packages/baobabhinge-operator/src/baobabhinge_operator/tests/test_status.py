import msgspec
import pytest

from baobabhinge_operator.queries import gateways
from baobabhinge_operator.queries.gateway_answers import (
    EntryGateway,
    EntryList,
    GatewayStatus,
)

LISTED = EntryList(
    5,
    [
        EntryGateway('g1', 'west', '10.0.0.1:1'),
        EntryGateway('g2', 'west', '10.0.0.3:1'),
    ],
)
STATES = {'g1': 'alive', 'g2': 'alive', 'g3': 'draining'}
STATUSES = {
    '10.0.0.1:1': GatewayStatus('g1', 'west', 4, gateways=STATES),
    '10.0.0.2:1': GatewayStatus('g1', 'west', 4, gateways=STATES),
    '10.0.0.3:1': GatewayStatus('g2', 'west', 4, gateways=STATES),
    '10.0.0.4:1': GatewayStatus(
        'g3', 'west', 3, draining=True, gateways=STATES
    ),
}


@pytest.fixture(autouse=True)
def answers(monkeypatch):
    async def fetch(address, path):
        return msgspec.json.encode(STATUSES[address])

    async def fetch_from_any(addresses, path):
        return msgspec.json.encode(LISTED)

    monkeypatch.setattr(gateways, 'fetch', fetch)
    monkeypatch.setattr(gateways, 'fetch_from_any', fetch_from_any)


@pytest.mark.parametrize(
    ('given', 'third'),
    [
        ('10.0.0.2:1', 'g3 west: generation 0, no entry for callers, draining'),
        ('10.0.0.3:1', 'g3 west: generation 0, no entry for callers, draining'),
        (
            '10.0.0.2:1,10.0.0.4:1',
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
