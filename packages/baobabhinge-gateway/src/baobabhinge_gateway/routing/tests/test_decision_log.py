import msgspec
import pytest

from baobabhinge_gateway.errors import OverloadedError
from baobabhinge_gateway.routing import Candidate, Decision, DecisionLog
from baobabhinge_gateway.routing.decision_log import (
    MAX_RECENT_DECISIONS,
    MAX_REPORTED_CANDIDATES,
)
from baobabhinge_gateway.routing.tests.builders import make_call, make_target

LOCAL = Candidate(make_target('w1'))
REMOTE = Candidate(make_target('e1', region='east'))
CIRCUIT_OPEN = Candidate(make_target('w2'), blocked='circuit')
LINK_EXHAUSTED = Candidate(make_target('e2', region='east'), blocked='link')


def bind(call, *regions):
    terms = msgspec.structs.replace(call.terms, regions=frozenset(regions))
    return msgspec.structs.replace(call, terms=terms)


@pytest.mark.parametrize(
    ('decision', 'refusal', 'kind', 'winner', 'blocked'),
    [
        (Decision((LOCAL, REMOTE)), '', 'home', 'w1', {}),
        (Decision((REMOTE, LOCAL)), '', 'away', 'e1', {}),
        (
            Decision((LOCAL,), (CIRCUIT_OPEN, LINK_EXHAUSTED)),
            '',
            'home',
            'w1',
            {'circuit': {'llm': 1}, 'link': {'llm': 1}},
        ),
        (Decision((LOCAL,)), OverloadedError.code, 'overloaded', '', {}),
        (
            Decision((), (CIRCUIT_OPEN,)),
            'no-backend-server',
            'no-backend-server',
            '',
            {'circuit': {'llm': 1}},
        ),
    ],
)
def test_decision_is_reported_and_counted(
    decision, refusal, kind, winner, blocked
):
    """The report names the kind, the best vm and the excluded candidates."""
    log = DecisionLog('west')
    log.add(make_call(), decision, refusal)
    summary = log.summarize()
    assert summary.kinds == {kind: 1}
    assert summary.blocked == blocked
    report = summary.recent[-1]
    assert (report.kind, report.winner) == (kind, winner)
    shown = {candidate.vm: candidate.blocked for candidate in report.candidates}
    expected = (*decision.candidates, *decision.blocked)
    assert shown == {
        candidate.target.vm.name: candidate.blocked for candidate in expected
    }


def test_log_contains_no_prompt():
    """`/v1/status` must not reveal what callers send."""
    log = DecisionLog('west')
    log.add(make_call(prompt='secret-text'), Decision((LOCAL,)))
    assert b'secret-text' not in msgspec.json.encode(log.summarize())


@pytest.mark.parametrize(
    ('regions', 'is_kept'),
    [(('west',), True), (('west', 'east'), True), (('east',), False)],
)
def test_bound_calls_are_logged_only_in_their_regions(regions, is_kept):
    """A call bound to other regions is counted here, and not logged."""
    log = DecisionLog('west')
    log.add(bind(make_call(), *regions), Decision((LOCAL,)))
    summary = log.summarize()
    assert bool(summary.recent) is is_kept
    assert summary.kinds == {'home': 1}


def test_log_is_bounded():
    """Neither decisions nor candidates grow the log beyond its bounds."""
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
