"""A bounded number of peers of a group hold a watch."""

from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination.generations import is_watcher

GROUPS = st.sets(st.text('abc-12', min_size=1), min_size=1, max_size=30)


@given(GROUPS)
def test_two_peers_watch_or_all_of_a_smaller_group(live):
    watching = [name for name in live if is_watcher(name, live)]
    assert len(watching) == min(2, len(live))


@given(GROUPS, st.data())
def test_loss_of_one_peer_moves_at_most_one_watch(live, drawn):
    lost = drawn.draw(st.sampled_from(sorted(live)))
    before = {name for name in live if is_watcher(name, live)}
    remaining = live - {lost}
    after = {name for name in remaining if is_watcher(name, remaining)}
    assert before - {lost} <= after


def test_peer_missing_in_its_list_counts_itself():
    assert is_watcher('a', ())
