"""Verdicts on parts that were present when servers ended, and their reports."""

from datetime import timedelta
from itertools import permutations

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.suspects import (
    DatedCrash,
    PartIndex,
    PartReporter,
    PartTable,
)
from baobabhinge_coordination.suspects.part_reports import MAX_REPORTS
from baobabhinge_coordination.suspects.part_table import MAX_PARTS

SECOND = timedelta(seconds=1)
HOUR = timedelta(hours=1)


class Member:
    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.table = PartTable(clock)
        self.index = PartIndex(self.table)
        self.reporter = PartReporter(self.table)
        self._runs = 0

    def crash(self, server: str, *parts: str, regions=()) -> None:
        crash = DatedCrash(server, self.clock.read_monotonic())
        for part in parts:
            self.index.record_crash(part, crash, regions)

    def answer(self, *parts: str) -> None:
        self._runs += 1
        self.index.record_answer(parts, f'{id(self)}-{self._runs}')

    def send(self, other: 'Member', region: str = 'west') -> None:
        other.reporter.merge(self.reporter.export(region))

    def is_refused(self, *parts: str) -> bool:
        return self.index.compute_pause(parts) > timedelta()


def create_member() -> Member:
    clock = ManualClock()
    clock.advance(HOUR)
    return Member(clock)


def play(member: Member, *events: str) -> None:
    """Play one event a second; ``3:ab`` crashes server 3 with parts a and b.

    Without a number, a server answers a request with these parts.
    """
    for event in events:
        server, _, parts = event.rpartition(':')
        if server:
            member.crash(server, *parts)
        else:
            member.answer(*parts)
        member.clock.advance(SECOND)


@pytest.mark.parametrize(
    ('events', 'refused', 'served'),
    [
        (('1:a', '2:a'), (), ('a',)),
        (('1:a', '2:a', '3:a'), ('a',), ('b',)),
        # One answer does not clear a part that most runs crash on.
        (('1:a', 'a', '2:a', 'a', '3:a'), ('a',), ()),
        (('1:a', *'aaaaaaa', '2:a', '3:a'), (), ('a',)),
        # Answers before a part became bad do not count.
        (('1:a', *'aaaaaaa', '2:a', '3:a', '4:a'), ('a',), ()),
        # Sound parts of the same requests, and of others lost with the server.
        (('1:ab', '2:ab', 'b', '3:ab'), ('a', 'ab'), ('b',)),
        (('1:abc', '2:abd', '3:abe', 'b'), ('a',), ('b', 'c', 'd')),
        (('1:ab', '2:ab', '3:ac', '4:ac'), ('a',), ('b', 'c')),
        (('1:ab', '2:ab', '3:ab', '4:b', '5:b', '6:b'), ('b',), ()),
        # The evidence does not tell them apart.
        (('1:ab', '2:ab', '3:ab'), ('ab',), ('a', 'b')),
        (('1:ab', '2:ab', '3:ab', 'b'), ('a', 'ab'), ('b',)),
        (('1:ab', '2:ab', '3:ab', '4:a'), ('a', 'ab'), ('b',)),
        # Two culprits.
        (('1:a', '2:b', '3:a', '4:b', '5:a', '6:b'), ('a', 'b'), ('c',)),
        # One server that is seen twice by its name.
        (('1:a', '1:a', '1:a'), (), ('a',)),
    ],
)
def test_only_the_part_under_which_servers_end_is_refused(
    events, refused, served
):
    member = create_member()
    play(member, *events)
    assert {parts: member.is_refused(*parts) for parts in refused} == (
        dict.fromkeys(refused, True)
    )
    assert {parts: member.is_refused(*parts) for parts in served} == (
        dict.fromkeys(served, False)
    )


@pytest.mark.parametrize(
    ('events', 'confined'),
    [
        (('1:a',), None),
        (('1:a', '2:a'), 'a'),
        (('1:a', '2:a', 'a'), None),
        (('1:ab', '2:ab', '3:ab'), 'a'),
        (('1:a', '2:a', '3:a'), None),
    ],
)
def test_a_suspected_part_is_confined_until_it_is_answered(events, confined):
    member = create_member()
    play(member, *events)
    assert member.index.find_confined(('a',)) == confined


def test_servers_that_end_together_do_not_convict_what_they_ran():
    member = create_member()
    for server in ('1', '2', '3', '4'):
        member.crash(server, 'a')
    assert not member.is_refused('a')
    member.clock.advance(SECOND)
    member.crash('5', 'a')
    assert member.is_refused('a')


def test_crashes_close_together_do_not_hide_those_before():
    """A part with five crashes over a second was allowed again by three more.

    The last three came within 250 ms and had no answer between them.
    """
    member = create_member()
    for number in range(5):
        member.crash(f'before-{number}', 'a')
        member.answer('a')
        member.clock.advance(SECOND / 4)
    assert member.is_refused('a')
    for number in range(3):
        member.crash(f'close-{number}', 'a')
        member.clock.advance(SECOND / 20)
    assert member.is_refused('a')


@pytest.mark.parametrize('order', tuple(permutations(range(3))))
def test_evidence_of_several_members_adds_up_in_any_order(order):
    clock = ManualClock()
    clock.advance(HOUR)
    members = [Member(clock) for _ in range(3)]
    for number, member in enumerate(members):
        clock.advance(SECOND / 2)
        member.crash(f'server-{number}', 'a', 'b')
    members[0].answer('b')
    receiver = Member(clock)
    for number in order:
        members[number].send(receiver)
        members[number].send(receiver)
    assert receiver.is_refused('a')
    assert not receiver.is_refused('b')
    late = Member(clock)
    clock.advance(HOUR / 4)
    receiver.send(late)
    assert late.is_refused('a')


def test_a_single_crash_is_reported_only_for_a_while():
    member = create_member()
    play(member, '1:a')
    assert member.reporter.export('west')
    member.clock.advance(SECOND)
    assert not member.reporter.export('west')


def test_reports_reach_only_regions_that_may_learn_the_part():
    member = create_member()
    member.crash('1', 'a', regions=('east',))
    assert not member.reporter.export('west')
    assert member.reporter.export('east')


def test_a_refusal_ends_when_its_evidence_is_old():
    member = create_member()
    play(member, '1:a', '2:a', '3:a')
    member.clock.advance(HOUR)
    assert not member.is_refused('a')
    assert not member.table.histories


def test_a_suspected_part_expires_before_a_refused_one():
    member = create_member()
    play(member, '1:a', '2:a', '3:a')
    member.clock.advance(HOUR / 10)
    assert member.is_refused('a')
    play(member, '4:b')
    member.clock.advance(HOUR / 6)
    assert member.is_refused('a')
    assert list(member.table.histories) == ['a']


def test_parts_that_callers_invent_fill_no_table():
    member = create_member()
    play(member, '1:a', '2:a', '3:a')
    for number in range(2 * MAX_PARTS):
        member.answer(f'invented-{number}')
        member.crash('4', f'lost-{number}')
    assert len(member.table.histories) == MAX_PARTS
    assert member.is_refused('a')
    assert len(member.reporter.export('west')) == MAX_REPORTS
