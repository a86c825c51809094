from datetime import timedelta

import msgspec
import pytest

from baobabhinge_settings import SourceFile, merge_files
from baobabhinge_standins.engine.cache import PREFIX_BLOCK_CHARS
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.experiment import WORKLOADS
from baobabhinge_standins.experiment.actions import ACTIONS
from baobabhinge_standins.experiment.arrivals import Arrival, draw_arrivals
from baobabhinge_standins.experiment.callers import Outcome
from baobabhinge_standins.experiment.sites import SITES
from baobabhinge_standins.experiment.summary import RunLog, summarize
from baobabhinge_standins.experiment.workloads import Stream

SECOND = timedelta(seconds=1)


@pytest.mark.parametrize('site', SITES.values(), ids=SITES)
@pytest.mark.parametrize('workload', WORKLOADS)
def test_same_seed_draws_the_same_arrivals(site, workload):
    drawn = [draw_arrivals(WORKLOADS[workload](site), 7) for _ in range(2)]
    other = draw_arrivals(WORKLOADS[workload](site), 8)
    assert drawn[0] == drawn[1]
    assert drawn[0] != other
    instants = [arrival.instant for arrival in drawn[0]]
    assert instants == sorted(instants)
    events = WORKLOADS[workload](site).events
    assert all(event.action in ACTIONS for event in events)


def list_first_blocks(label):
    drawn = draw_arrivals(WORKLOADS['calm'](SITES['tsukushi']), 7, label)
    orders = [msgspec.json.decode(arrival.body) for arrival in drawn]
    texts = [order['messages'][0]['content'] for order in orders]
    return {text[:PREFIX_BLOCK_CHARS] for text in texts}


def test_trials_share_no_cached_block():
    assert not list_first_blocks('0') & list_first_blocks('1')


@pytest.mark.parametrize('site', SITES.values(), ids=SITES)
def test_sites_render_settings_that_merge(site):
    text = site.render_settings('home-only')
    settings = merge_files([SourceFile('10.ini', text)])
    assert settings.policy == 'home-only'
    assert settings.find_objective('llm').first_token == site.goal


def make_outcome(first, status=200, request_id='', workspace='one'):
    stream = Stream('west', 1, workspace=workspace)
    arrival = Arrival(timedelta(), stream, 0, b'')
    instants = [first * SECOND, (first + 1) * SECOND] if first else []
    return Outcome(arrival, status, request_id, instants, bool(first))


def test_summary_counts_whole_answers_in_time():
    outcomes = [
        make_outcome(0.5, request_id='a'),
        make_outcome(2, request_id='b'),
        make_outcome(0, status=503, workspace='noisy'),
        make_outcome(0, status=0),
    ]
    runs = {
        'west': [EngineRun('a', 'llm', '', 0, 1, 4, 10)],
        'east': [
            EngineRun('b', 'llm', '', 0, 0, 5, 10),
            EngineRun('elsewhere', 'llm', '', 0, 0, 5, 10),
        ],
    }
    summary = summarize(RunLog('p', 'w', SECOND, outcomes, runs))
    figures = (summary.goodput, summary.quiet_goodput, summary.not_run)
    assert figures == pytest.approx((0.25, 1 / 3, 0.25))
    assert summary.away == pytest.approx(0.5)
    assert summary.cost == pytest.approx((13 + 2 * 15) / 2)
    assert summary.gap_p95 == pytest.approx(1000)
