from datetime import timedelta

import pytest

from baobabhinge_gateway.telemetry.call_statistics import (
    MAX_SERVICES,
    OTHER_SERVICES,
    CallStatistics,
)

MILLISECOND = timedelta(milliseconds=1)


@pytest.fixture
def statistics():
    return CallStatistics()


def test_percentiles_are_kept_by_service(statistics):
    for number in range(1, 101):
        statistics.record_latency('answer', 'fast', number * MILLISECOND)
        statistics.record_latency('answer', 'slow', number * 10 * MILLISECOND)
    services = statistics.summarize_services()
    fast, slow = services['fast']['answer'], services['slow']['answer']
    assert fast.p50_ms == pytest.approx(50, rel=0.01)
    assert fast.p95_ms == pytest.approx(95, rel=0.01)
    assert fast.p99_ms == pytest.approx(99, rel=0.01)
    assert slow.p99_ms == pytest.approx(990, rel=0.01)
    merged = statistics.summarize()['answer']
    assert merged.count == fast.count + slow.count == 200
    assert merged.p50_ms == pytest.approx(91, rel=0.01)
    assert merged.p99_ms == pytest.approx(980, rel=0.01)


def test_services_above_the_bound_share_histograms(statistics):
    """Callers may name any number of services; memory must stay bounded."""
    calls = 3 * MAX_SERVICES
    for number in range(calls):
        statistics.record_latency('answer', f's{number}', MILLISECOND)
    statistics.record_latency('answer', 's0', MILLISECOND)
    services = statistics.summarize_services()
    assert len(services) == MAX_SERVICES + 1
    assert services['s0']['answer'].count == 2
    others = services[OTHER_SERVICES]['answer'].count
    assert others == calls - MAX_SERVICES
    assert statistics.summarize()['answer'].count == calls + 1


def test_summaries_are_empty_before_the_first_call(statistics):
    assert statistics.summarize() == {}
    assert statistics.summarize_services() == {}
