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


def claim_once(members, name, inside):
    """Claim and hold; each step of the schedule goes to a yield."""
    own = members[name]
    busy = []
    yield from ask_others(members, name, busy)
    if own.settle('x', is_free=not any(busy)):
        inside.append(name)
        yield
        inside.remove(name)
        own.release('x')


def claim_often(members, name, inside):
    for _ in range(ROUNDS):
        members[name].begin('x')
        yield from claim_once(members, name, inside)
        yield


@settings(max_examples=2000, deadline=None)
@given(STEPS)
def test_a_claim_is_held_by_one_member(schedule):
    members = {name: RunClaims(name) for name in NAMES}
    inside = []
    running = {name: claim_often(members, name, inside) for name in NAMES}
    for name in schedule:
        next(running[name])
        assert len(inside) <= 1, inside


@given(st.permutations(NAMES * 12))
def test_some_member_gets_the_claim(schedule):
    members = {name: RunClaims(name) for name in NAMES}
    inside = []
    running = {name: claim_often(members, name, inside) for name in NAMES}
    held = set()
    for name in (*schedule, *NAMES * 12):
        next(running[name])
        held.update(inside)
    assert held


def test_what_runs_is_busy_for_all():
    claims = RunClaims('b')
    with claims.track_run('x'):
        assert claims.is_busy('x', 'a')
        assert not claims.begin('x')
    assert not claims.is_busy('x', 'a')
    assert claims.begin('x')
