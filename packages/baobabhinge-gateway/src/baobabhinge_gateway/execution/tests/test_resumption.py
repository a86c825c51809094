"""Resumption of a completion after some of its tokens were delivered."""

import msgspec
import pytest

from baobabhinge_gateway.calls import Call, HopList
from baobabhinge_gateway.execution.resumption import resume_call


def build_call(body):
    fields = dict.fromkeys(('service', 'terms'), None)
    return Call(
        request_id='r1',
        method='POST',
        path='/v1/completions',
        headers=(),
        body=body,
        hops=HopList(),
        **fields,
    )


@pytest.mark.parametrize(
    ('body', 'tokens', 'start'),
    [
        (b'{"model":"llm","prompt":"a"}', 3, 3),
        (b'{"model":"llm","prompt":"a","resume_from":4}', 3, 7),
    ],
)
def test_the_next_engine_starts_after_the_delivered_tokens(
    body,
    tokens,
    start,
):
    """Delivered tokens add to those that an earlier gateway delivered."""
    resumed = msgspec.json.decode(resume_call(build_call(body), tokens).body)
    assert resumed == {'model': 'llm', 'prompt': 'a', 'resume_from': start}


def test_a_call_without_delivered_tokens_is_unchanged():
    call = build_call(b'{"model": "llm"}')
    assert resume_call(call, 0) is call
