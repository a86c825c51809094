"""Visiting every state that a scenario can reach."""

from collections import Counter, deque

import msgspec

from baobabhinge_coordination.runonce.tests.protocol_state import ProtocolState


class ExplorationResult(msgspec.Struct):
    """What was seen."""

    states: int = 0
    reasons: Counter = msgspec.field(default_factory=Counter)


def explore(scenario):
    """Visit every state; return the census.

    Raises
    ------
    GuaranteeViolatedError
        At the first state in which a promise does not hold.
    """
    first = ProtocolState(scenario)
    seen = {first.fingerprint()}
    pending = deque((first,))
    census = ExplorationResult()
    while pending:
        world = pending.popleft()
        world.check()
        census.states += 1
        census.reasons.update(world.list_reasons())
        for action, argument in world.list_actions():
            following = world.clone()
            action(following, argument)
            mark = following.fingerprint()
            if mark not in seen:
                seen.add(mark)
                pending.append(following)
    return census
