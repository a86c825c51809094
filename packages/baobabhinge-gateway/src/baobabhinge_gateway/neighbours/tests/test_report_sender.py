"""Bound on the bytes of crash reports, and who gets them within it."""

from collections import Counter
from datetime import timedelta

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.suspects import PartReport
from baobabhinge_gateway.neighbours import (
    CrashReports,
    GatewayContact,
    GatewayTable,
    PeerMetrics,
)
from baobabhinge_gateway.neighbours.datagrams import (
    decode_message,
    encode_message,
)
from baobabhinge_gateway.neighbours.report_sender import (
    REPORT_BYTE_RATE,
    ReportSender,
)

STEP = timedelta(milliseconds=10)


class FixedComposer:
    def __init__(self, length):
        self.reports = CrashReports((), (PartReport('x' * length, ()),))

    def compose(self, region, *, is_urgent):
        return self.reports


def build_sender(clock, peers, length):
    table = GatewayTable(GatewayContact('own', 'west', '127.0.0.1', 90), clock)
    for number in range(peers):
        region = 'west' if number % 3 else 'east'
        table.add_contact(
            GatewayContact(f'peer-{number}', region, f'10.0.0.{number}', 90)
        )
    metrics = PeerMetrics(CollectorRegistry(), timedelta)
    return ReportSender(table, FixedComposer(length), metrics, clock)


@pytest.mark.parametrize('peers', [2, 82, 1000])
@pytest.mark.parametrize('length', [100, 1300])
def test_reports_keep_their_bound_and_reach_all_gateways(peers, length):
    clock = ManualClock()
    sender = build_sender(clock, peers, length)
    received = Counter()
    sent = 0
    seconds = 60
    for _ in range(seconds * 100):
        for datagram, contact in sender.iterate_due(
            is_urgent=True, has_remote=True
        ):
            sent += len(datagram)
            received[contact.name] += 1
        clock.advance(STEP)
    # What an unused budget holds comes on top.
    assert sent <= REPORT_BYTE_RATE * (seconds + 2)
    assert len(received) == peers


@pytest.mark.parametrize(
    ('is_urgent', 'count'), [(True, 125_000 // 1024), (False, 62_500 // 1024)]
)
def test_repetitions_leave_part_of_the_budget_to_news(is_urgent, count):
    clock = ManualClock()
    sender = build_sender(clock, 200, 1000)
    # Contacts that have just become known count as news.
    list(sender.iterate_due(is_urgent=True, has_remote=True))
    clock.advance(timedelta(minutes=1))
    due = list(sender.iterate_due(is_urgent=is_urgent, has_remote=True))
    assert abs(len(due) - count) <= 3


def test_earlier_versions_drop_reports_as_unreadable():
    datagram = encode_message(FixedComposer(10).reports)
    received = decode_message(datagram)
    assert encode_message(received) == datagram
    assert isinstance(received, CrashReports)
    with pytest.raises(msgspec.MsgspecError):
        msgspec.msgpack.decode(datagram)
