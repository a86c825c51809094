from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.suspects import SuspectLedger, SuspectVerdict

ZERO_DURATION = timedelta()
SECOND = timedelta(seconds=1)


@pytest.mark.parametrize(
    ('crashes', 'verdicts'),
    [
        ([('e1', 'abc')], {'a': 'suspect', 'x': 'clear'}),
        ([('e1', 'abc'), ('e2', 'a')], {'a': 'culprit', 'b': 'suspect'}),
        # Two gateways report one crash.
        ([('e1', 'ab'), ('e1', 'ac')], {'a': 'suspect', 'c': 'suspect'}),
    ],
)
def test_requests_are_classified_by_their_crashes(crashes, verdicts):
    ledger = SuspectLedger(ManualClock())
    for server, in_flight in crashes:
        ledger.record(server, in_flight)
    for fingerprint, verdict in verdicts.items():
        assert ledger.classify(fingerprint) == SuspectVerdict(verdict)


def test_a_later_crash_of_the_same_server_counts_again():
    clock = ManualClock()
    ledger = SuspectLedger(clock)
    ledger.record('e1', 'ab')
    clock.advance(10 * SECOND)
    ledger.record('e1', 'a')
    assert ledger.classify('a') is SuspectVerdict.culprit
    clock.advance(timedelta(hours=1))
    assert ledger.classify('a') is SuspectVerdict.clear


def send_records(sender, receiver, clock, delay=ZERO_DURATION):
    """Send the records of one ledger to another, delayed by ``delay``."""
    exported = sender.export()
    clock.advance(delay)
    receiver.merge(exported)


@pytest.mark.parametrize('seconds_between', [2.8, 3.1, 3.3, 4.5])
def test_one_crash_counts_once_shortly_after_another_one(seconds_between):
    clock = ManualClock()
    first, second = SuspectLedger(clock), SuspectLedger(clock)
    first.record('e1', 'x')
    send_records(first, second, clock, delay=SECOND * 0.3)
    clock.advance(SECOND * (seconds_between - 0.3))
    first.record('e1', 'ab')
    second.record('e1', 'b')
    send_records(first, second, clock)
    send_records(second, first, clock)
    for ledger in (first, second):
        assert ledger.classify('a') is SuspectVerdict.suspect
        assert ledger.classify('b') is SuspectVerdict.suspect


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['record', 'clear', 'exchange']),
        st.integers(0, 2),
        st.sampled_from('abcd'),
        st.sampled_from(['e1', 'e2', 'e3']),
    ),
    max_size=30,
)


@given(STEPS)
def test_peers_agree_after_they_have_exchanged_records(steps):
    clock = ManualClock()
    ledgers = [SuspectLedger(clock) for _ in range(3)]
    for kind, index, fingerprint, server in steps:
        clock.advance(SECOND)
        if kind == 'record':
            ledgers[index].record(server, fingerprint)
        elif kind == 'clear':
            ledgers[index].clear(fingerprint)
        else:
            ledgers[index].merge(ledgers[index - 1].export())
    for _ in range(2):
        for index in range(3):
            ledgers[index].merge(ledgers[index - 1].export())
            ledgers[index - 1].merge(ledgers[index].export())
    for fingerprint in 'abcd':
        verdicts = [ledger.classify(fingerprint) for ledger in ledgers]
        assert all(
            (verdict is SuspectVerdict.clear)
            == (verdicts[0] is SuspectVerdict.clear)
            for verdict in verdicts
        )


@pytest.mark.parametrize(
    ('minutes', 'suspects'),
    [(0, 'abcd'), (2, 'acd'), (6, 'a'), (31, '')],
)
def test_only_unexpired_suspects_are_exported(minutes, suspects):
    clock = ManualClock()
    ledger = SuspectLedger(clock)
    ledger.record('e1', 'abc')
    ledger.record('e2', 'ad')
    ledger.clear('b')
    clock.advance(timedelta(minutes=minutes))
    exported = ledger.export()
    assert set().union(*(crash.suspects for crash in exported)) == set(suspects)
    other = SuspectLedger(clock)
    other.merge(exported)
    for fingerprint in 'abcd':
        assert other.classify(fingerprint) is ledger.classify(fingerprint)
