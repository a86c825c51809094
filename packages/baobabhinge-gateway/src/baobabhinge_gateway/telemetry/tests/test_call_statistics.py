from datetime import timedelta

import pytest

from baobabhinge_gateway.telemetry.call_statistics import (
    MAX_SERVICES,
    OTHER_SERVICES,
    CallStatistics,
)

MILLISECOND = timedelta(milliseconds=1)


@pytest.fixture
def measures():
    return CallStatistics()


def test_percentiles_of_a_service_are_its_own(measures):
    for number in range(1, 101):
        measures.record_latency('answer', 'fast', number * MILLISECOND)
        measures.record_latency('answer', 'slow', number * 10 * MILLISECOND)
    services = measures.summarize_services()
    fast, slow = services['fast']['answer'], services['slow']['answer']
    assert fast.p50_ms == pytest.approx(50, rel=0.01)
    assert fast.p95_ms == pytest.approx(95, rel=0.01)
    assert fast.p99_ms == pytest.approx(99, rel=0.01)
    assert slow.p99_ms == pytest.approx(990, rel=0.01)
    whole = measures.summarize()['answer']
    assert whole.count == fast.count + slow.count == 200
    assert whole.p50_ms == pytest.approx(91, rel=0.01)
    assert whole.p99_ms == pytest.approx(980, rel=0.01)


def test_services_above_the_bound_are_counted_together(measures):
    calls = 3 * MAX_SERVICES
    for number in range(calls):
        measures.record_latency('answer', f's{number}', MILLISECOND)
    measures.record_latency('answer', 's0', MILLISECOND)
    services = measures.summarize_services()
    assert len(services) == MAX_SERVICES + 1
    assert services['s0']['answer'].count == 2
    others = services[OTHER_SERVICES]['answer'].count
    assert others == calls - MAX_SERVICES
    assert measures.summarize()['answer'].count == calls + 1


def test_nothing_is_told_before_the_first_call(measures):
    assert measures.summarize() == {}
    assert measures.summarize_services() == {}
