import msgspec
import pytest

from baobabhinge_gateway.errors import OverloadedError
from baobabhinge_gateway.routing import Candidate, Decision, DecisionLog
from baobabhinge_gateway.routing.decision_log import (
    MAX_RECENT_DECISIONS,
    MAX_REPORTED_CANDIDATES,
)
from baobabhinge_gateway.routing.tests.builders import make_call, make_target

HOME = Candidate(make_target('w1'))
AWAY = Candidate(make_target('e1', region='east'))
RESTING = Candidate(make_target('w2'), blocked='circuit')
FULL_LINK = Candidate(make_target('e2', region='east'), blocked='link')


def bind(call, *regions):
    terms = msgspec.structs.replace(call.terms, regions=frozenset(regions))
    return msgspec.structs.replace(call, terms=terms)


@pytest.mark.parametrize(
    ('decision', 'refusal', 'kind', 'winner', 'blocked'),
    [
        (Decision((HOME, AWAY)), '', 'home', 'w1', {}),
        (Decision((AWAY, HOME)), '', 'away', 'e1', {}),
        (
            Decision((HOME,), (RESTING, FULL_LINK)),
            '',
            'home',
            'w1',
            {'circuit': {'llm': 1}, 'link': {'llm': 1}},
        ),
        (Decision((HOME,)), OverloadedError.code, 'overloaded', '', {}),
        (
            Decision((), (RESTING,)),
            'no-backend-server',
            'no-backend-server',
            '',
            {'circuit': {'llm': 1}},
        ),
    ],
)
def test_what_won_and_what_was_blocked(
    decision, refusal, kind, winner, blocked
):
    log = DecisionLog('west')
    log.add(make_call(), decision, refusal)
    summary = log.summarize()
    assert summary.kinds == {kind: 1}
    assert summary.blocked == blocked
    report = summary.recent[-1]
    assert (report.kind, report.winner) == (kind, winner)
    shown = {candidate.vm: candidate.blocked for candidate in report.candidates}
    expected = (*decision.candidates, *decision.blocked)
    assert shown == {one.target.vm.name: one.blocked for one in expected}


def test_no_text_of_the_call_is_kept():
    log = DecisionLog('west')
    log.add(make_call(prompt='secret-text'), Decision((HOME,)))
    assert b'secret-text' not in msgspec.json.encode(log.summarize())


@pytest.mark.parametrize(
    ('regions', 'is_kept'),
    [(('west',), True), (('west', 'east'), True), (('east',), False)],
)
def test_bound_work_is_kept_in_its_regions_alone(regions, is_kept):
    log = DecisionLog('west')
    log.add(bind(make_call(), *regions), Decision((HOME,)))
    summary = log.summarize()
    assert bool(summary.recent) is is_kept
    assert summary.kinds == {'home': 1}


def test_the_log_is_bounded():
    log = DecisionLog('west')
    many = tuple(
        Candidate(make_target(f'w{number}'))
        for number in range(MAX_REPORTED_CANDIDATES + 5)
    )
    for _ in range(MAX_RECENT_DECISIONS + 3):
        log.add(make_call(), Decision(many))
    summary = log.summarize()
    assert summary.kinds['home'] == MAX_RECENT_DECISIONS + 3
    assert len(summary.recent) == MAX_RECENT_DECISIONS
    assert len(summary.recent[0].candidates) == MAX_REPORTED_CANDIDATES
    assert summary.recent[0].omitted == 5
