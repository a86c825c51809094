"""Few peers of a group hold a watch."""

from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination.generations import is_watcher

GROUPS = st.sets(st.text('abc-12', min_size=1), min_size=1, max_size=30)


@given(GROUPS)
def test_as_many_watch_as_are_wanted(live):
    watching = [name for name in live if is_watcher(name, live)]
    assert len(watching) == min(2, len(live))


@given(GROUPS, st.data())
def test_loss_of_one_moves_one_watch_at_most(live, drawn):
    lost = drawn.draw(st.sampled_from(sorted(live)))
    before = {name for name in live if is_watcher(name, live)}
    left = live - {lost}
    after = {name for name in left if is_watcher(name, left)}
    assert before - {lost} <= after


def test_peer_that_is_not_listed_counts_itself():
    assert is_watcher('a', ())
