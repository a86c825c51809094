import pytest

from baobabhinge_gateway.calls.encodings import (
    keep_requested_encoding,
    request_identity_encoding,
)
from baobabhinge_gateway.calls.headers import keep_end_to_end

GZIP = ('accept-encoding', 'gzip')
IDENTITY = ('Accept-Encoding', 'identity')
OTHER = ('X-Other', '1')


@pytest.mark.parametrize(
    ('change', 'before', 'after'),
    [
        (request_identity_encoding, (OTHER,), (OTHER, IDENTITY)),
        (request_identity_encoding, (GZIP, OTHER), (OTHER, IDENTITY)),
        (keep_requested_encoding, (OTHER,), (OTHER, IDENTITY)),
        (keep_requested_encoding, (GZIP, OTHER), (GZIP, OTHER)),
    ],
)
def test_accepted_encodings(change, before, after):
    assert change(before) == after


@pytest.mark.parametrize(
    'dropped',
    [
        ('Connection', 'close, X-Named'),
        ('X-Named', '1'),
        ('Expect', '100-continue'),
        ('Transfer-Encoding', 'chunked'),
        ('Baobabhinge-Path', 'a@b'),
        ('X-Request-Id', 'r1'),
    ],
)
def test_hop_by_hop_and_gateway_headers_are_dropped(dropped):
    pairs = (('Connection', 'X-Named'), dropped, OTHER)
    assert keep_end_to_end(pairs) == (OTHER,)
