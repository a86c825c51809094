from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhinge_coordination.suspects import RunClaims

ROUNDS = 200
NAMES = ('a', 'b', 'c')
STEPS = st.lists(st.sampled_from(NAMES), min_size=60, max_size=120)


def ask_others(members, name, busy):
    for other in NAMES:
        if other != name:
            yield
            busy.append(members[other].is_busy('x', name))
    yield


def claim_once(members, name, holders):
    """Claim and hold once; each step of the schedule ends at a ``yield``."""
    own = members[name]
    busy = []
    yield from ask_others(members, name, busy)
    if own.settle('x', is_free=not any(busy)):
        holders.append(name)
        yield
        holders.remove(name)
        own.release('x')


def claim_repeatedly(members, name, holders):
    for _ in range(ROUNDS):
        members[name].begin('x')
        yield from claim_once(members, name, holders)
        yield


@settings(max_examples=2000, deadline=None)
@given(STEPS)
def test_a_claim_is_held_by_at_most_one_member(schedule):
    members = {name: RunClaims(name) for name in NAMES}
    holders = []
    running = {name: claim_repeatedly(members, name, holders) for name in NAMES}
    for name in schedule:
        next(running[name])
        assert len(holders) <= 1, holders


@given(st.permutations(NAMES * 12))
def test_members_that_yield_do_not_block_each_other(schedule):
    members = {name: RunClaims(name) for name in NAMES}
    holders = []
    running = {name: claim_repeatedly(members, name, holders) for name in NAMES}
    held = set()
    for name in (*schedule, *NAMES * 12):
        next(running[name])
        held.update(holders)
    assert held


def test_a_running_request_is_busy_for_all_members():
    claims = RunClaims('b')
    with claims.track_run('x'):
        assert claims.is_busy('x', 'a')
        assert not claims.begin('x')
    assert not claims.is_busy('x', 'a')
    assert claims.begin('x')
