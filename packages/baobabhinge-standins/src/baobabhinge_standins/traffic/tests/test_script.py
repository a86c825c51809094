"""The scripts of the examples, and what is counted from journals."""

import json
from pathlib import Path

import pytest

from baobabhinge_settings import merge_files
from baobabhinge_settings.reading import read_folder
from baobabhinge_standins.application.messages import Run
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.traffic import Request, Verdict, read_script
from baobabhinge_standins.traffic.audit import (
    Journals,
    count_doubled,
    measure_sent_away,
)
from baobabhinge_standins.traffic.records import Sample

EXAMPLES = Path('examples')
TRADE = '/services/ledger/trades/7/confirm'


@pytest.mark.parametrize('name', ['tsukushi', 'kranfelder'])
def test_scripts_fit_the_settings(name):
    script = read_script(EXAMPLES / name)
    settings = merge_files(read_folder(EXAMPLES / name / 'settings'))
    for number in range(50):
        request = script.build(number)
        if request.is_model:
            body = json.loads(request.body)
            assert settings.find_service(body['model']) is not None
            assert len(request.body) > 2000
            assert str(number) in request.body.decode()
            continue
        service = settings.find_service(request.path.split('/')[2])
        path = request.service_path
        ruled = service.is_run_once(request.method, path)
        assert ruled is request.is_run_once


def build_sample(path, region, request_id):
    request = Request('trade', region, 'POST', path, is_run_once=True)
    return Sample(request, Verdict.answered, request_id, None, None)


@pytest.mark.parametrize(
    ('runs', 'doubled'),
    [
        (['/trades/7/confirm'], 0),
        (['/trades/7/confirm', '/trades/7/confirm'], 1),
        (['/trades/7/confirm', '/trades/8/confirm'], 0),
        (['/trades/9/confirm', '/trades/9/confirm'], 0),
    ],
)
def test_doubled_calls_are_counted(runs, doubled):
    plain = [('west', Run('r1', 'POST', path, '')) for path in runs]
    samples = [build_sample(TRADE, 'west', 'r1')]
    assert count_doubled(Journals([], plain), samples) == doubled


def test_share_sent_away():
    journals = Journals(
        [('east', EngineRun('r1', 'llm', ''))],
        [('west', Run('r2', 'GET', '/', '')), ('west', Run('?', 'G', '', ''))],
    )
    samples = [build_sample(TRADE, 'west', name) for name in ('r1', 'r2', '-')]
    assert measure_sent_away(journals, samples) == pytest.approx(0.5)
