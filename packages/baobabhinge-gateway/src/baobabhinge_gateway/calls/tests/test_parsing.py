from datetime import timedelta

import pytest
from aiohttp.test_utils import make_mocked_request

from baobabhinge_gateway.calls.parsing import parse_model_request, parse_terms
from baobabhinge_gateway.errors import MalformedCallError
from baobabhinge_settings.model import Service, ServiceKind

NOW = timedelta(hours=3)
SERVICE_DEADLINE = timedelta(seconds=20)
SERVICE = Service('llm', ServiceKind.model, SERVICE_DEADLINE)


def parse(headers):
    request = make_mocked_request('POST', '/v1/completions', headers=headers)
    return parse_terms(request, NOW, SERVICE)


def parse_deadline(text):
    return parse({'Baobabhinge-Deadline-Ms': text}).deadline


@pytest.mark.parametrize(
    ('text', 'time_limit'),
    [
        ('1', timedelta(milliseconds=1)),
        ('19999', timedelta(milliseconds=19999)),
        ('20001', SERVICE_DEADLINE),
        ('9' * 30, SERVICE_DEADLINE),
        ('9' * 5000, SERVICE_DEADLINE),
    ],
)
def test_the_shorter_deadline_applies(text, time_limit):
    assert parse_deadline(text) == NOW + time_limit


def test_the_deadline_of_the_service_applies_without_header():
    terms = parse({'Baobabhinge-Workspace': 'desk'})
    assert terms.deadline == NOW + SERVICE_DEADLINE
    assert terms.workspace == 'desk'


@pytest.mark.parametrize(
    'text',
    ['', '0', '000', '-1', '+1', '1.5', '1,5', '1 s', '1e3', '\u0661', '\xb2'],
)
def test_a_malformed_deadline_is_refused(text):
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
def test_a_malformed_body_is_refused_without_showing_its_text(body):
    with pytest.raises(MalformedCallError) as refused:
        parse_model_request(body)
    assert 'yes' not in refused.value.detail
