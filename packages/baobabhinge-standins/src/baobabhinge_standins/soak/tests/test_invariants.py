"""Each invariant is violated by the evidence that it is there to find."""

import msgspec
import pytest

from baobabhinge_standins.application.messages import Run
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.soak.attempts import CallRecord
from baobabhinge_standins.soak.evidence import Evidence, name_call
from baobabhinge_standins.soak.invariants import find_violations
from baobabhinge_standins.soak.script import mark_bound
from baobabhinge_standins.traffic import Request, Verdict
from baobabhinge_standins.traffic.audit import Journals

PATH = '/trades/7/confirm'
RAN = ('west', Run('r1', 'POST', PATH, ''))
TRADE = Request(
    'trade',
    'west',
    'POST',
    f'/services/ledger{PATH}',
    is_run_once=True,
)
MODEL = Request('appraisal', 'west', 'POST', '/v1/completions', is_model=True)
PROMPTED = ('west', EngineRun('r1', 'llm', f'history {name_call(7)}'))
NOTHING = Journals([], [])


def record(request, *verdicts):
    return CallRecord(request, 7, list(verdicts))


def closed(*verdicts):
    return CallRecord(TRADE, 7, list(verdicts), is_closed=True)


@pytest.mark.parametrize(
    ('call', 'journals', 'violated'),
    [
        (record(TRADE, Verdict.answered), Journals([], [RAN]), ''),
        (record(TRADE, Verdict.answered), Journals([], [RAN, RAN]), 'once'),
        (record(TRADE, Verdict.not_run), Journals([], [RAN]), 'told not'),
        (record(TRADE, Verdict.not_run), NOTHING, ''),
        (record(TRADE, Verdict.unknown), Journals([], [RAN]), ''),
        (record(TRADE, Verdict.not_run, None), NOTHING, 'final outcome'),
        (record(TRADE, None, Verdict.not_run), Journals([], [RAN]), ''),
        (record(TRADE), NOTHING, 'final outcome'),
        (record(TRADE, Verdict.answered), NOTHING, 'has run'),
        (record(TRADE, Verdict.cut, Verdict.unknown), NOTHING, 'no part'),
        (closed(Verdict.not_run), NOTHING, ''),
        (
            closed(Verdict.not_run, Verdict.answered),
            Journals([], [RAN]),
            'closed',
        ),
        (record(MODEL, Verdict.answered), NOTHING, ''),
        (record(MODEL, Verdict.not_run), Journals([PROMPTED], []), 'told not'),
        (record(MODEL, Verdict.broken), Journals([PROMPTED], []), ''),
        (
            record(MODEL, Verdict.not_run, Verdict.answered),
            Journals([PROMPTED], []),
            '',
        ),
    ],
)
def test_calls(call, journals, violated):
    found = find_violations(Evidence([call], journals))
    assert len(found) == bool(violated)
    assert all(violated in one.invariant for one in found)


@pytest.mark.parametrize(
    ('changes', 'violated'),
    [
        ({'generations': {'a 1': [1, 3], 'a 2': [2]}}, ''),
        ({'generations': {'a 1': [1, 3, 2]}}, 'never goes down'),
        ({'last_generations': {'a': 3, 'b': 3}}, ''),
        ({'last_generations': {'a': 3, 'b': 2}}, 'in force everywhere'),
        ({'strays': ['a holds']}, 'bound text'),
    ],
)
def test_gateways(changes, violated):
    evidence = msgspec.structs.replace(Evidence([], NOTHING), **changes)
    found = find_violations(evidence)
    assert len(found) == bool(violated)
    assert all(violated in one.invariant for one in found)


@pytest.mark.parametrize(('runs', 'violations'), [(0, 0), (2, 0), (3, 1)])
def test_crashing_requests(runs, violations):
    crashed = ('west', EngineRun('r1', 'llm', f'{CRASH_MARK} 7'))
    other = ('west', EngineRun('r2', 'llm', f'{CRASH_MARK} 8'))
    journals = Journals([other, *[crashed for _ in range(runs)]], [])
    assert len(find_violations(Evidence([], journals))) == violations


def test_marks_differ_by_region():
    assert mark_bound('west') not in mark_bound('east')
