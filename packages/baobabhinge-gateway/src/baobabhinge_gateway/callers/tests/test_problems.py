from datetime import timedelta
from random import Random

import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from baobabhinge_gateway.callers.problems import ProblemRenderer
from baobabhinge_gateway.errors import DrainingError
from baobabhinge_gateway.runonce import KeyRoutes
from baobabhinge_gateway.web_application import build_app

DEEPLY_NESTED = b'{"more": %b' % (b'[' * 100_000)


def test_retry_delays_are_spread():
    renderer = ProblemRenderer(Random(7))
    error = DrainingError('leaving', timedelta(seconds=10))
    answers = [renderer.render(error, 'r1') for _ in range(50)]
    delays = {int(answer.headers['Retry-After']) for answer in answers}
    assert min(delays) >= 10
    assert max(delays) <= 30
    assert len(delays) > 10
    for answer in answers:
        body = msgspec.json.decode(answer.body)
        assert str(body['retry_after_seconds']) == answer.headers['Retry-After']
        assert body['request_id'] == 'r1'


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'code'),
    [
        ('GET', '/none', b'', 'no-such-path'),
        ('GET', '/v1/keys', b'', 'method-not-allowed'),
        ('POST', '/v1/keys', b'[]', 'malformed-request'),
        ('POST', '/v1/keys', DEEPLY_NESTED, 'malformed-request'),
        ('GET', '/v1/keys/none', b'', 'bad-key'),
    ],
)
async def test_every_refusal_has_a_request_identifier(method, path, body, code):
    app = build_app([KeyRoutes(None, 'west')])
    async with (
        TestClient(TestServer(app)) as client,
        client.request(method, path, data=body) as answer,
    ):
        problem = msgspec.json.decode(await answer.read())
    assert problem['code'] == code
    assert problem['request_id']
    assert problem['request_id'] == answer.headers['X-Request-Id']
