from datetime import timedelta
from random import Random

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.admission import LoadShedder, WorkspaceShares
from baobabhinge_gateway.errors import OverloadedError, WorkspaceShareError
from baobabhinge_gateway.routing import Candidate, Decision
from baobabhinge_gateway.routing.tests.builders import (
    StubRules,
    make_call,
    make_target,
)

SECOND = timedelta(seconds=1)
SEED = 5


def check(wait, call=None, shares=None, elapsed=0):
    clock = ManualClock()
    clock.advance(elapsed * SECOND)
    shedder = LoadShedder(
        clock,
        Random(SEED),
        shares or WorkspaceShares(),
        StubRules(),
    )
    waits = wait * SECOND
    candidate = Candidate(make_target('w1'), wait=waits, first=waits)
    shedder.check(call or make_call(), Decision((candidate,)))


@pytest.mark.parametrize(
    ('wait', 'elapsed'),
    [(0, 0), (0, 19), (0.3, 0), (0.5, 0), (0.5, 19)],
)
def test_what_comes_in_time_passes(wait, elapsed):
    check(wait, elapsed=elapsed)


@pytest.mark.parametrize(
    ('wait', 'elapsed'),
    [(0.6, 0), (3, 0), (30, 0), (0.5, 19.8)],
)
def test_what_comes_late_is_refused_at_once(wait, elapsed):
    with pytest.raises(OverloadedError) as refused:
        check(wait, elapsed=elapsed)
    assert SECOND <= refused.value.retry_after <= (2 + 2 * wait) * SECOND


@pytest.mark.parametrize(
    ('noisy', 'quiet', 'wait', 'refused'),
    [
        (9, 1, 0.5, True),
        (9, 0, 0.5, False),
        (1, 9, 0.5, False),
        (9, 1, 0, False),
    ],
)
def test_full_service_is_shared(noisy, quiet, wait, refused):
    shares = WorkspaceShares()
    call = make_call(workspace='noisy')
    other = make_call(workspace='quiet')
    contexts = [shares.track(call) for _ in range(noisy)]
    contexts += [shares.track(other) for _ in range(quiet)]
    for context in contexts:
        context.__enter__()
    if refused:
        with pytest.raises(WorkspaceShareError):
            check(wait, call, shares)
    else:
        check(wait, call, shares)
    for context in contexts:
        context.__exit__(None, None, None)
    assert not shares.is_above_share(call)
