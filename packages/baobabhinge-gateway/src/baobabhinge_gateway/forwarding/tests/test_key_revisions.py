"""Lists and changes of the store that arrive in any order.

Guards against DRAIN: an older list brought back what had left, or a newer one
was taken for older, or a gateway counted as knowing what it did not.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from baobabhinge_gateway.forwarding.key_revisions import (
    KeyRevisions,
    ListRevisions,
    has_to_read,
    list_changes,
)
from baobabhinge_gateway.forwarding.removal_history import MAX_REMOVALS

KEYS = ('a', 'b', 'c', 'd')
PAGE = 2


class History:
    """Store that remembers what was stored at each revision."""

    def __init__(self) -> None:
        self.states = [{}]

    @property
    def revision(self) -> int:
        return len(self.states) - 1

    def change(self, key: str | None) -> None:
        """Write a key, remove it if it is there, or write another prefix."""
        state = dict(self.states[-1])
        if key is not None and state.pop(key, None) is None:
            state[key] = self.revision + 1
        self.states.append(state)

    def list_changes(self, after: int):
        for revision in range(after + 1, self.revision + 1):
            old, new = self.states[revision - 1], self.states[revision]
            for key in old.keys() ^ new.keys():
                yield key, revision, key in new


class Follower:
    """Gateway that knows the keys of a history as far as it was told."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.keys = KeyRevisions()
        self.watched_from = 0

    def watch(self, at: int) -> None:
        for key, revision, is_written in self.history.list_changes(
            self.watched_from
        ):
            if is_written:
                self.keys.write(key, revision)
            else:
                self.keys.remove(key, revision)
        self.watched_from = self.history.revision
        self.keys.complete(self.watched_from)

    def read(self, first: int, second: int) -> None:
        """Read the pages of a list, each at a revision of its own."""
        listed = {}
        for page, revision in ((KEYS[:PAGE], first), (KEYS[PAGE:], second)):
            state = self.history.states[revision]
            listed |= {key: state[key] for key in page if key in state}
        as_of = min(first, second)
        known = [one for one in listed.values() if one <= as_of]
        newest = max(known, default=0)
        self.keys.replace(
            listed, ListRevisions(as_of, newest, shows_removals=False)
        )
        self.watched_from = as_of

    def hear(self, other: 'Follower') -> None:
        """Apply what another gateway knows, if it has something to tell."""
        progress = other.keys.progress
        if progress.told > self.keys.progress.known_to:
            as_of = progress.complete_to
            self.keys.replace(
                dict.fromkeys(other.keys.present, as_of),
                ListRevisions(as_of, progress.told),
            )

    def learn(self, other: 'Follower') -> None:
        """Apply the changes that another gateway tells, or else its list."""
        since = self.keys.progress.complete_to
        changes = list_changes(other.keys, since)
        if changes is None:
            self.hear(other)
            return
        for key, revision in changes.written.items():
            self.keys.write(key, revision)
        for key, revision in changes.removed.items():
            self.keys.remove(key, revision)
        self.keys.complete(other.keys.progress.complete_to)


steps = some.lists(
    some.tuples(
        some.sampled_from(('change', 'read', 'watch', 'hear', 'learn')),
        some.integers(0, 1),
        some.integers(0, 3),
        some.integers(0, 3),
    ),
    max_size=40,
)


def play(history, followers, step, who, first, second) -> None:
    if step == 'change':
        history.change((*KEYS, None)[(who + first + second) % 5])
    elif step == 'read':
        oldest = max(0, history.revision - first)
        newer = max(0, history.revision - second)
        followers[who].read(oldest, newer)
    elif step == 'watch':
        followers[who].watch(0)
    elif step == 'learn':
        followers[who].learn(followers[1 - who])
    else:
        followers[who].hear(followers[1 - who])


@settings(max_examples=300, deadline=None)
@given(steps)
def test_what_is_known_is_as_new_as_it_is_said_to_be(played):
    history = History()
    followers = (Follower(history), Follower(history))
    for step in played:
        play(history, followers, *step)
        for follower in followers:
            keys = follower.keys
            progress = keys.progress
            assert progress.newest <= progress.complete_to <= history.revision
            complete = history.states[progress.complete_to]
            later = {
                key for key, _, _ in history.list_changes(progress.complete_to)
            }
            assert keys.present - later == set(complete) - later
    for follower in followers:
        follower.read(history.revision, history.revision)
        assert follower.keys.present == set(history.states[-1])


@settings(max_examples=300, deadline=None)
@given(steps)
def test_a_gateway_that_watches_tells_all_that_it_knows(played):
    """One that has half of a list was taken for the one that knows more."""
    history = History()
    watching, reading = (Follower(history), Follower(history))
    for step, _, first, second in played:
        who = step in {'read', 'hear', 'learn'}
        play(history, (watching, reading), step, who, first, second)
        reading.hear(watching)
        known_to = reading.keys.progress.known_to
        told_to = watching.keys.progress.complete_to
        changes = history.list_changes(known_to)
        assert all(revision > told_to for _, revision, _ in changes)


@pytest.mark.parametrize(
    ('as_of', 'newest', 'told'),
    [
        # A removal that the list shows by what it lacks was told as of it.
        (12, 5, 12),
        # The list is older than the newest change of this key.
        (6, 5, 7),
    ],
)
def test_a_list_without_a_key_tells_others_of_its_removal(as_of, newest, told):
    keys = KeyRevisions()
    keys.replace({'a': 5, 'b': 7}, ListRevisions(7, 7))
    keys.replace({'a': 5}, ListRevisions(as_of, newest, shows_removals=False))
    assert keys.progress.told == told
    assert ('b' in keys.present) == (as_of < 7)


def test_a_list_of_another_gateway_tells_of_no_newer_change():
    """Its other gateways would fetch it again, one from the other."""
    history = History()
    history.change('a')
    source, receiver = (Follower(history), Follower(history))
    source.watch(0)
    source.keys.complete(5000)
    receiver.hear(source)
    assert receiver.keys.progress.told == source.keys.progress.told == 1
    assert receiver.keys.progress.known_to == 5000


def test_writes_of_other_prefixes_are_nothing_to_tell():
    keys = KeyRevisions()
    keys.replace({'a': 5}, ListRevisions(7, 5, shows_removals=False))
    keys.complete(5000)
    assert keys.progress.told == 5
    assert keys.progress.known_to == 5000


def test_an_uncertain_list_is_replaced_by_the_next_list_of_the_store():
    keys = KeyRevisions()
    keys.replace({'a': 5, 'b': 6}, ListRevisions(6, 6))
    # It lacks a removal of "b" and a write of "c".
    keys.replace({'a': 9, 'b': 9}, ListRevisions(9, 9, is_certain=False))
    assert has_to_read(keys.progress)
    assert keys.progress.complete_to == 6
    keys.replace({'a': 5, 'c': 8}, ListRevisions(9, 8, shows_removals=False))
    assert not has_to_read(keys.progress)
    assert keys.present == {'a', 'c'}


@pytest.mark.parametrize(
    ('since', 'written', 'removed'),
    [
        (5, None, None),
        (6, {'b': 7, 'd': 9}, {'a': 8}),
        (7, {'d': 9}, {'a': 8}),
        (9, {}, {}),
    ],
)
def test_changes_are_told_from_the_first_list_on(since, written, removed):
    keys = KeyRevisions()
    assert list_changes(keys, since) is None
    keys.replace({'a': 5, 'c': 4}, ListRevisions(6, 5))
    keys.write('b', 7)
    keys.remove('a', 8)
    keys.write('d', 9)
    keys.complete(9)
    changes = list_changes(keys, since)
    assert (changes and dict(changes.written)) == written
    assert (changes and dict(changes.removed)) == removed


def test_changes_are_not_told_across_a_list():
    """What came and went between two lists is in neither of them."""
    history = History()
    source, receiver = (Follower(history), Follower(history))
    for follower in (source, receiver):
        follower.read(0, 0)
    history.change('a')
    receiver.watch(0)
    history.change('a')
    source.read(history.revision, history.revision)
    assert receiver.keys.present == {'a'}
    assert list_changes(source.keys, 1) is None
    receiver.learn(source)
    # It does not count as knowing what it was not told.
    assert receiver.keys.progress.complete_to == 1


def test_changes_are_not_told_from_before_a_removal_that_was_forgotten():
    keys = KeyRevisions()
    keys.replace({}, ListRevisions(1, 1))
    for revision in range(2, MAX_REMOVALS + 4):
        keys.remove(f'key-{revision}', revision)
    assert list_changes(keys, 2) is None
    changes = list_changes(keys, 3)
    assert changes and len(changes.removed) == MAX_REMOVALS


def test_no_changes_are_told_while_a_list_is_uncertain():
    keys = KeyRevisions()
    keys.replace({'a': 5}, ListRevisions(6, 5))
    keys.replace({}, ListRevisions(9, 9, is_certain=False))
    assert list_changes(keys, 6) is None
