from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_gateway.callers.problems import ProblemRenderer
from baobabhinge_gateway.errors import DrainingError


def test_callers_are_asked_to_come_back_at_different_times():
    renderer = ProblemRenderer(Random(7))
    error = DrainingError('leaving', timedelta(seconds=10))
    answers = [renderer.render(error, 'r1') for _ in range(50)]
    pauses = {int(answer.headers['Retry-After']) for answer in answers}
    assert min(pauses) >= 10
    assert max(pauses) <= 30
    assert len(pauses) > 10
    for answer in answers:
        told = msgspec.json.decode(answer.body)
        assert str(told['retry_after_seconds']) == answer.headers['Retry-After']
        assert told['request_id'] == 'r1'
