import pytest
from aiohttp.test_utils import make_mocked_request

from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.calls.arrivals import read_passed_gateways
from baobabhinge_gateway.errors import MalformedCallError

EAST = (Hop('g', 'east'),)


@pytest.mark.parametrize(
    ('path', 'listed', 'hops'),
    [
        ('/forward/v1/completions', 'g@east', EAST),
        ('/forward/services/ledger/a', 'g@east', EAST),
        ('/forward/v1/completions', '', ()),
        ('/v1/completions', 'g@east', ()),
        ('/services/ledger/a', 'g@east', ()),
        ('/services/ledger/forward/a', 'g@east', ()),
        ('/v1/completions', 'no path at all', ()),
    ],
)
def test_the_path_header_is_read_on_forwarded_requests_only(path, listed, hops):
    headers = {'Baobabhinge-Path': listed}
    request = make_mocked_request('POST', path, headers=headers)
    assert read_passed_gateways(request).hops == hops


def test_a_malformed_path_header_of_a_gateway_is_refused():
    request = make_mocked_request(
        'POST',
        '/forward/v1/completions',
        headers={'Baobabhinge-Path': 'no path at all'},
    )
    with pytest.raises(MalformedCallError):
        read_passed_gateways(request)
