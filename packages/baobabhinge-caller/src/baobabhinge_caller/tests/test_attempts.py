from datetime import timedelta

import pytest

from baobabhinge_caller.attempts import Attempts
from baobabhinge_caller.entries import EntryBook
from baobabhinge_caller.messages import Entry, EntryList, Problem
from baobabhinge_coordination.clock import ManualClock


class ListedBook(EntryBook):
    """A book whose gateways answer from a list."""

    async def _ask(self, address):
        self.asked.append(address)
        return self.answers.get(address)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def book(clock):
    book = ListedBook(None, ['seed-1', 'seed-2'], clock)
    entries = [Entry('g1', 'west', 'g1'), Entry('g2', 'west', 'g2')]
    book.asked = []
    book.answers = {'seed-2': EntryList(5, entries)}
    return book


async def test_entries_are_asked_for_when_their_time_is_over(book, clock):
    assert (await book.list_addresses())[:2] == ['g1', 'g2']
    assert book.asked == ['seed-1', 'seed-2']
    await book.list_addresses()
    assert len(book.asked) == 2
    clock.advance(timedelta(seconds=5))
    await book.list_addresses()
    assert len(book.asked) > 2


async def test_hints_of_a_refusal_are_for_that_call_alone(book):
    bound = Attempts(book, is_repeatable=True)
    assert await bound.choose() == 'g1'
    hint = (Entry('e1', 'east', 'e1'),)
    refusal = Problem('wrong-region', 'not-run', '', 421, 0, hint)
    await bound.record(refusal)
    assert await bound.choose() == 'e1'
    other = Attempts(book, is_repeatable=True)
    assert await other.choose() == 'g1'
