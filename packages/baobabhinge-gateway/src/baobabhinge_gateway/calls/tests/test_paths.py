import pytest

from baobabhinge_gateway.calls.paths import decode_path, extract_service_path
from baobabhinge_gateway.errors import MalformedCallError


@pytest.mark.parametrize(
    ('raw', 'path'),
    [
        ('/services/ledger/owners/9?title=Lan', '/owners/9?title=Lan'),
        ('/forward/services/ledger/owners/9', '/owners/9'),
        ('/services/ledger/a%2Fb%3Fc/d', '/a%2Fb%3Fc/d'),
        ('/services/ledger/', '/'),
        ('/services/ledger/x?next=/../y', '/x?next=/../y'),
    ],
)
def test_paths_at_services_are_unchanged(raw, path):
    assert extract_service_path(raw) == path


@pytest.mark.parametrize(
    'raw',
    [
        '/services/ledger/x/../trades/9/confirm',
        '/services/ledger/x/%2e%2e/trades/9/confirm',
        '/services/ledger/./trades',
    ],
)
def test_dot_segments_are_refused(raw):
    with pytest.raises(MalformedCallError):
        extract_service_path(raw)


@pytest.mark.parametrize(
    'path',
    ['/trades/9/%63onfirm', '//trades//9/confirm', '/trades/9/confirm?a=b'],
)
def test_spellings_of_a_path_decode_to_one(path):
    assert decode_path(path) == '/trades/9/confirm'
