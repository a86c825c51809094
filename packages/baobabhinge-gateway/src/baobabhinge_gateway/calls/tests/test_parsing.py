from datetime import timedelta

import pytest
from aiohttp.test_utils import make_mocked_request

from baobabhinge_gateway.calls.parsing import parse_model_request, parse_terms
from baobabhinge_gateway.errors import MalformedCallError
from baobabhinge_settings.model import Service, ServiceKind

NOW = timedelta(hours=3)
LONGEST = timedelta(seconds=20)
SERVICE = Service('llm', ServiceKind.model, LONGEST)


def parse(headers):
    request = make_mocked_request('POST', '/v1/completions', headers=headers)
    return parse_terms(request, NOW, SERVICE)


def parse_deadline(text):
    return parse({'Baobabhinge-Deadline-Ms': text}).deadline


@pytest.mark.parametrize(
    ('text', 'patience'),
    [
        ('1', timedelta(milliseconds=1)),
        ('19999', timedelta(milliseconds=19999)),
        ('20001', LONGEST),
        ('9' * 30, LONGEST),
        ('9' * 5000, LONGEST),
    ],
)
def test_deadline_is_the_shorter_one(text, patience):
    assert parse_deadline(text) == NOW + patience


def test_service_has_its_own_deadline():
    terms = parse({'Baobabhinge-Workspace': 'desk'})
    assert terms.deadline == NOW + LONGEST
    assert terms.workspace == 'desk'


@pytest.mark.parametrize(
    'text',
    ['', '0', '000', '-1', '+1', '1.5', '1,5', '1 s', '1e3', '\u0661', '\xb2'],
)
def test_bad_deadline_is_refused(text):
    with pytest.raises(MalformedCallError):
        parse_deadline(text)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'{"prompt": "a"}',
        b'{"model": 7}',
        b'{"model": "llm", "stream": "yes"}',
        b'{"model": "\xff"}',
        b'{"model": "llm", "stop": %b}' % (b'[' * 100_000),
        b'{"model": "llm", "stop": %b1%b}' % (b'[' * 100_000, b']' * 100_000),
    ],
)
def test_malformed_body_is_refused_and_not_shown(body):
    with pytest.raises(MalformedCallError) as refused:
        parse_model_request(body)
    assert 'yes' not in refused.value.detail
