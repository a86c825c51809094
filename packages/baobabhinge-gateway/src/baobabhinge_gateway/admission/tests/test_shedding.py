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
    delay = wait * SECOND
    candidate = Candidate(make_target('w1'), wait=delay, first=delay)
    shedder.check(call or make_call(), Decision((candidate,)))


@pytest.mark.parametrize(
    ('wait', 'elapsed'),
    [(0, 0), (0, 19), (0.3, 0), (0.5, 0), (0.5, 19)],
)
def test_call_expected_in_time_is_admitted(wait, elapsed):
    """Within the limit of the objective and the deadline calls are admitted."""
    check(wait, elapsed=elapsed)


@pytest.mark.parametrize(
    ('wait', 'elapsed'),
    [(0.6, 0), (3, 0), (30, 0), (0.5, 19.8)],
)
def test_call_expected_late_is_refused_at_once(wait, elapsed):
    """Callers learn of an overload without waiting, with a jittered delay."""
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
def test_workspace_above_its_share_is_refused(noisy, quiet, wait, refused):
    """In a full service one busy workspace must not crowd out the others."""
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
